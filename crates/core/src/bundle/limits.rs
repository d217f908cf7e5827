use crate::unit::{ByteCount, Millis};

/// Limits of the whole deployment.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of hosts. Each host gets an equal share of every account limit, but at least
    /// one slot.
    pub hosts: u32,
    /// The limit on retries and hedged calls together, as a percentage of all calls in a window; at most 10.
    pub retry_percent: u8,
    /// How long the record of a run-once call is retained with its answer.
    pub run_once_retention: Millis,
    /// The maximum number of run-once records. Further calls are refused with the outcome `not_run`.
    pub run_once_records: u32,
    /// The maximum size of an answer that a run-once record stores. Of larger answers it stores the digest
    /// and the length.
    pub run_once_answer: ByteCount,
    /// The maximum number of digests of expired idempotency keys that carry no timestamp. Records that leave
    /// a digest when they expire count as well. Further calls with such keys are refused.
    pub expired_keys: u32,
    /// The number of model loads per minute that the store of model weights can serve, over all hosts
    /// together. Hosts do not act on it.
    pub weight_loads_per_minute: u32,
}
