//! Choice of the endpoint for an attempt.
//!
//! Two candidates are drawn with weights by speed and the one with the lower estimated completion is
//! taken ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher 2001), so that hosts
//! that decide alone do not all send to the same endpoint.

mod candidate_view;
mod choice;
mod choose;
mod draws;
mod load_report;
mod route_request;
mod score;
#[cfg(test)]
mod tests;

pub use candidate_view::CandidateView;
pub use choice::Choice;
pub use choose::choose;
pub use load_report::LoadReport;
pub use route_request::RouteRequest;

pub(crate) use draws::Draws;
