//! What a caller is told when its request was not answered.

mod problem;
mod refusal_outcome;

pub use problem::Problem;
pub use refusal_outcome::RefusalOutcome;
