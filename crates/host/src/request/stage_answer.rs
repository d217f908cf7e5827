use masticstair_core::endpoint_api::RunResponse;
use serde_json::value::RawValue;

/// The answer of an endpoint; the output stays JSON text, since the host does not read it.
pub(super) type StageAnswer = RunResponse<Box<RawValue>>;
