use masticstair_core::prelude::*;

/// The warm-up of one process of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Warmup {
    pub(super) incarnation: Incarnation,
    /// When the process is warm, on the clock of this host; it never moves to an earlier time.
    pub(super) until: Timestamp,
}
