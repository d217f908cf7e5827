use masticstair_core::prelude::*;

/// A request on its way through the stages.
pub struct Request {
    pub host: usize,
    pub account: usize,
    pub arrived_us: u64,
    /// The tokens of the last stage.
    pub tokens: u64,
    /// The number of tokens that the host expects.
    pub expected_tokens: u64,
    pub stage: usize,
    /// Endpoints that the stage has tried.
    pub tried: Vec<EndpointId>,
    /// Calls in flight.
    pub calls: Vec<usize>,
    pub attempts: u32,
    /// It has left the queue.
    pub started: bool,
    /// It was answered, refused or given up.
    pub done: bool,
}
