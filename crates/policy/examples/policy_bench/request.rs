use masticstair_core::prelude::*;

/// Request being processed.
pub struct Request {
    pub host: usize,
    pub account: usize,
    pub arrived_us: u64,
    /// Number of tokens that the last stage generates.
    pub tokens: u64,
    /// Number of tokens that the host expects.
    pub expected_tokens: u64,
    pub stage: usize,
    /// Endpoints tried in the current stage.
    pub tried: Vec<EndpointId>,
    /// Calls in flight, as positions in `Model::calls`.
    pub calls: Vec<usize>,
    pub attempts: u32,
    /// True once the request has been granted a slot.
    pub started: bool,
    /// True once the request has an outcome.
    pub done: bool,
}
