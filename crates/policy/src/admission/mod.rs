//! Admission control: rejects requests that can't meet their deadline.
//!
//! The expected wait is the total slot time of the requests ahead divided by the number of slots that
//! serve them (Little's law). [`HostLimit`] adapts the number of slots so that a burst queues on the
//! host, where requests can still be rejected before any stage has run, instead of inside the
//! endpoints.

mod account_view;
mod admission_decision;
mod admission_refusal;
mod admit;
mod check_stage;
mod host_limit;
mod queue_view;
mod stage_estimate;
#[cfg(test)]
mod tests;

pub use account_view::AccountView;
pub use admission_decision::AdmissionDecision;
pub use admission_refusal::AdmissionRefusal;
pub use admit::admit;
pub use check_stage::{check_stage, expected_work};
pub use host_limit::HostLimit;
pub use queue_view::QueueView;
pub use stage_estimate::StageEstimate;
