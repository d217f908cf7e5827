//! Selects the model engine of a generation: one that likely caches the prefix of the prompt, unless it is so
//! busy that prefilling the whole prompt on another engine gives the first token sooner.

mod engine_candidate;
mod first_event_timeout;
mod pick_engine;
mod rendezvous;
mod split_prompt;

pub use engine_candidate::EngineCandidate;
pub use first_event_timeout::first_event_timeout;
pub use pick_engine::pick_engine;
pub use rendezvous::{rendezvous_order, rendezvous_weight};
pub use split_prompt::SplitPrompt;
