//! Selects the model engine of a generation: one that likely caches the prefix of the prompt, unless it is so
//! busy that prefilling the whole prompt on another engine gives the first token sooner.

mod engine_candidate;
mod first_event_timeout;
mod pick_engine;
mod rendezvous;

pub use engine_candidate::EngineCandidate;
pub use first_event_timeout::first_event_timeout;
pub use pick_engine::pick_engine;
pub use rendezvous::{rendezvous_order, rendezvous_weight};

/// Prompt tokens that a typical engine prefills per millisecond.
pub const PREFILL_TOKENS_PER_MS: f64 = 30.0;
