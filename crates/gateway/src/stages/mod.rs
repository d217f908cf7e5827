//! Stages of requests. One host forms the calls of a stage service for all hosts, so that the calls are full.

mod answer_origin;
mod batch_call;
mod call_loss;
mod call_outcome;
mod cancel_guard;
mod check_call_end;
mod credible_outcome;
mod dispatch;
mod handle_outcomes;
mod job;
mod job_crashes;
mod lost_inputs;
mod owner_watch;
mod owners;
mod record_use;
mod release_results;
mod run_stage;
mod send_call;
mod service_stages;
mod stage_end;
mod stage_loads;
mod stage_registry;
mod stage_usage;
mod submit_stage;
mod watched_host;

pub(crate) use dispatch::dispatch_all;
pub(crate) use owners::{Owners, send_message};
pub(crate) use release_results::release_results;
pub(crate) use run_stage::{cancel_stage, hand_over_stages, run_stage};
pub(crate) use stage_end::StageEnd;
pub(crate) use stage_loads::stage_loads;
pub(crate) use stage_registry::StageRegistry;
pub(crate) use submit_stage::{submit_release, submit_stage};
