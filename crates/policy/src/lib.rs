//! Decision functions of masticstair: no input or output, no clock reads, no encoding.

pub mod admission;
pub mod breaker;
pub mod bundle_history;
pub mod catalog_register;
pub mod directory;
pub mod endpoint_limits;
pub mod endpoint_liveness;
pub mod endpoint_pauses;
pub mod endpoint_table;
pub mod engine_choice;
pub mod estimate;
pub mod fair_queue;
pub mod freshness;
pub mod issuer;
pub mod limits;
pub mod membership;
pub mod operator_read;
pub mod poison;
pub mod request_crashes;
pub mod retry;
pub mod routing;
pub mod run_once;
pub mod service_choice;
pub mod service_retry_budget;
pub mod smoothing;
pub mod stage_queue;
