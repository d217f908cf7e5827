use std::time::Duration;

/// An engine that a generation may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Its weight in the order of the prompt's beginning; the highest engine keeps it.
    pub affinity: u64,
    /// The time of this engine divided by that of a usual one.
    pub pace: f64,
    /// Requests of this host that it works on.
    pub in_flight: u32,
    /// Prompt tokens of this host's requests that it has not read.
    pub prompt_backlog: u64,
    /// Whether it is in the data centre where the inputs of the request are.
    pub is_near: bool,
    /// Whether it is left alone after failures.
    pub is_avoided: bool,
    /// The share of calls that failed lately, from 0 to 1.
    pub failing: f64,
    /// How long it stays slow after its start.
    pub cold: Duration,
}
