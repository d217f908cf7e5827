//! How old the state may be that a host acts by, and which control host keeps it up to date.

mod choose_source;
mod control_host_news;
mod known_until;
mod may_deny;
mod source_candidate;

pub use choose_source::choose_source;
pub use control_host_news::ControlHostNews;
pub use known_until::known_until;
pub use may_deny::may_deny;
pub use source_candidate::SourceCandidate;
