//! Chooses the model engine of a generation: where the beginning of its prompt is likely kept, unless that
//! engine is so busy that reading the prompt elsewhere gives the first token sooner.

mod engine_candidate;
mod pick_engine;
mod rendezvous;

pub use engine_candidate::EngineCandidate;
pub use pick_engine::pick_engine;
pub use rendezvous::{rendezvous_order, rendezvous_weight};
