use crate::estimate::Latency;

/// The estimate for a stage that has not run.
#[derive(Clone, Copy, Debug)]
pub struct StageEstimate {
    /// The latency of the pool for the size of this request's work (see `PoolEstimate::latency`).
    pub latency: Latency,
}
