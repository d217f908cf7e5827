//! Retry and hedge decisions with a shared budget.

mod attempt_progress;
mod attempt_view;
mod backoff;
mod extra_call;
mod hedge_delay;
mod hedge_view;
mod next_attempt;
mod retry_budget;
mod retry_decision;
mod retry_refusal;
#[cfg(test)]
mod tests;

pub use attempt_progress::AttemptProgress;
pub use attempt_view::AttemptView;
pub use extra_call::ExtraCall;
pub use hedge_delay::hedge_delay;
pub use hedge_view::HedgeView;
pub use next_attempt::next_attempt;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_refusal::RetryRefusal;
