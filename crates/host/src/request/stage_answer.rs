use masticstair_core::endpoint_api::RunResponse;
use serde_json::value::RawValue;

/// The answer of a stage, its output kept as JSON text.
pub(super) type StageAnswer = RunResponse<Box<RawValue>>;
