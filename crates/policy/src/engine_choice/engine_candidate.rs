use masticstair_core::prelude::*;
use std::time::Duration;

/// An engine that a generation may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// The rendezvous weight of the engine for the prompt prefix; the engines with the highest weights cache it.
    pub affinity: u64,
    /// The time to the first event divided by that of a typical engine of the pool.
    pub relative_latency: f64,
    /// Requests of this host that the engine has not completed.
    pub in_flight: u32,
    /// Prompt tokens of this host's requests that the engine is expected to read and has not read.
    pub prompt_backlog: TokenCount,
    /// Whether the engine is in the data centre that holds the inputs of the request.
    pub is_near: bool,
    /// Whether the engine is in backoff; it is used only when every candidate is.
    pub is_in_backoff: bool,
    /// The smoothed fraction of calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// The remaining warm-up time after the start of the engine.
    pub warmup: Duration,
}
