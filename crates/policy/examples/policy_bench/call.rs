use masticstair_policy::estimate::CallNumber;

/// A call to an engine.
pub struct Call {
    pub request: usize,
    pub stage: usize,
    pub engine: usize,
    /// The name of the call in the estimate of the host.
    pub number: CallNumber,
    pub sent_us: u64,
    /// The time that the engine works on the call.
    pub engine_us: u64,
    /// It ended or was cancelled.
    pub done: bool,
}
