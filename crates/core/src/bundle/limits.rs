use crate::unit::{ByteCount, Millis};

/// Limits of the whole deployment.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of hosts. Each host gets an equal share of every account limit.
    pub hosts: u32,
    /// The limit on retries and hedged calls together, as a percentage of all calls in a window; at most 10.
    pub retry_percent: u8,
    /// How long the record of a run-once call is retained with its answer.
    pub run_once_retention: Millis,
    /// The maximum number of run-once records. Further calls are refused with the outcome `not_run`.
    pub run_once_records: u32,
    /// The maximum size of an answer that a run-once record stores.
    pub run_once_answer: ByteCount,
    /// The maximum number of stored digests of expired idempotency keys that carry no timestamp.
    pub expired_keys: u32,
    /// Model loads a minute that the weight store can serve, over all hosts together.
    pub weight_loads_per_minute: u32,
}
