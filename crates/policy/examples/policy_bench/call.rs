use masticstair_policy::estimate::CallNumber;

/// Call to an engine.
pub struct Call {
    pub request: usize,
    pub stage: usize,
    pub engine: usize,
    /// Number of the call in the endpoint estimate of the host.
    pub number: CallNumber,
    pub sent_us: u64,
    /// Processing time of the engine, without queueing.
    pub engine_us: u64,
    /// True once the call has finished or was cancelled.
    pub done: bool,
}
