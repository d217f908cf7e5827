//! Chooses the model engine of a generation: where the beginning of its prompt is likely kept, unless that
//! engine is so busy that reading the prompt elsewhere gives the first token sooner.

mod engine_view;
mod pick;
mod rendezvous;

pub use engine_view::EngineView;
pub use pick::pick_engine;
pub use rendezvous::{rendezvous_order, rendezvous_weight};
