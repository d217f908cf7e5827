use crate::unit::{ByteCount, Millis};

/// Limits that hold for the whole deployment.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The greatest number of hosts of the deployment; each owns an equal part of every account limit.
    pub hosts: u32,
    /// Retries and hedges together, in percent of all calls in a window; at most 10.
    pub retry_percent: u8,
    /// How long the record of a run-once call with its answer is kept.
    pub run_once_retention: Millis,
    /// How many run-once records are kept at the most; further calls are refused as not run.
    pub run_once_records: u32,
    /// The largest answer that a run-once record keeps.
    pub run_once_answer: ByteCount,
    /// How many digests of expired keys that carry no time are kept at the most.
    pub expired_keys: u32,
    /// Loads that the weight store takes per minute, over all hosts together.
    pub weight_loads_per_minute: u32,
}
