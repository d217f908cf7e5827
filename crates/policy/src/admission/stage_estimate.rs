use crate::estimate::Latency;

/// Latency estimate for a stage that has not run.
#[derive(Clone, Copy, Debug)]
pub struct StageEstimate {
    /// Latency of the pool for the expected token count of the request (see `PoolEstimate::latency`).
    pub latency: Latency,
}
