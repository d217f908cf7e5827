//! The error bodies that a client receives when its request has no answer.

mod problem;
mod refusal_outcome;

pub use problem::Problem;
pub use refusal_outcome::RefusalOutcome;
