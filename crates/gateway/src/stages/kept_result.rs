use masticstair_core::prelude::*;

/// A result that an endpoint keeps.
#[derive(Clone, Debug)]
pub(super) struct KeptResult {
    pub(super) endpoint: EndpointId,
    pub(super) size: ByteCount,
    /// When the endpoint forgets it.
    pub(super) until: Timestamp,
    /// Whether it was given up already; it stays known so that a repeated answer is recognised.
    pub(super) released: bool,
}
