//! The side of an entry host: clients, and what it learns from control hosts.

mod answer;
mod attempt;
mod client_request;
mod event_splitter;
mod follow;
mod held_results;
mod in_flight;
mod plain;
mod ready;
mod stage_plan;
mod stage_results;
mod stage_times;
mod stream;
mod stream_body;

pub(crate) use answer::answer_request;
pub(crate) use follow::{follow_control_hosts, follow_own_table};
pub(crate) use ready::answer_ready;
pub use stage_times::StageTimes;
