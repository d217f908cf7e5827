use masticstair_core::prelude::*;

/// A result that an endpoint keeps.
#[derive(Clone, Debug)]
pub(super) struct KeptResult {
    pub(super) endpoint: EndpointId,
    pub(super) size: ByteCount,
    /// When the endpoint forgets it by itself.
    pub(super) until: Timestamp,
    /// Whether it was given up.
    pub(super) released: bool,
    /// Whether the endpoint has forgotten it. It stays known here for a while, so that a repeated answer is
    /// recognised.
    pub(super) freed: bool,
}
