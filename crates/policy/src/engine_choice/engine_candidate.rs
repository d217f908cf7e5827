use std::time::Duration;

/// An engine that a generation may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Its weight in the order of the prompt's beginning; the highest engine keeps it.
    pub affinity: u64,
    /// The time of this engine divided by that of a usual one.
    pub relative_latency: f64,
    /// Requests of this host that it works on.
    pub in_flight: u32,
    /// Prompt tokens of this host's requests that it has not read.
    pub prompt_backlog: u64,
    /// Whether it is in the data centre where the inputs of the request are.
    pub is_near: bool,
    /// Whether it is left alone after failures.
    pub is_in_backoff: bool,
    /// The share of calls that failed lately, from 0 to 1.
    pub failure_rate: f64,
    /// How long it stays slow after its start.
    pub warmup: Duration,
}
