//! Stages of requests: one host forms the calls of a stage service for all, so that they are full.

mod call;
mod dispatch;
mod job;
mod load;
mod owner;
mod pump;
mod release;
mod run;
mod service_stages;
mod submit;

pub use dispatch::StageDispatch;
pub(crate) use load::stage_loads;
pub(crate) use owner::Owners;
pub(crate) use pump::pump_all;
pub(crate) use release::release_results;
pub(crate) use run::{cancel_stage, give_back_stages, run_stage};
pub(crate) use submit::{give_up_results, submit_stage};
