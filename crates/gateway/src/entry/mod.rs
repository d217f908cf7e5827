//! Entry hosts: client requests, and subscriptions to control hosts.

mod answer_plain;
mod answer_ready;
mod answer_request;
mod answer_stream;
mod attempt;
mod attempt_failure;
mod attempt_options;
mod catalog_request;
mod check_endpoint_end;
mod check_prompt;
mod check_request;
mod check_stage;
mod client_request;
mod engine_output;
mod event_splitter;
mod exchange_findings;
mod failed_call;
mod held_results;
mod in_flight;
mod in_flight_call;
mod opened_stream;
mod pause_refusal;
mod permitted_endpoint;
mod stage_plan;
mod stage_results;
mod stage_times;
mod stream_event;
mod stream_state;
mod subscribe;
mod tried_endpoints;
mod update_link;
mod waiting_call;

pub(crate) use answer_ready::answer_ready;
pub(crate) use answer_request::answer_request;
pub(crate) use stage_times::StageTimes;
pub(crate) use subscribe::{subscribe_to_control_hosts, subscribe_to_local_table};
