//! Load balancing: choice of the endpoint for an attempt.
//!
//! Two candidates are drawn, weighted by speed, and the one with the lower estimated completion time
//! is chosen ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher 2001), so that
//! hosts that decide independently do not all send to the same endpoint.

mod candidate_view;
mod choice;
mod choose_endpoint;
mod load_report;
mod route_request;
mod score;
mod split_mix64;
#[cfg(test)]
mod tests;

pub use candidate_view::CandidateView;
pub use choice::Choice;
pub use choose_endpoint::choose_endpoint;
pub use load_report::LoadReport;
pub use route_request::RouteRequest;

pub(crate) use split_mix64::SplitMix64;
