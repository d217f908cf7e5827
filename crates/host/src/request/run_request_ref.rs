use masticstair_core::bundle::StageKind;
use masticstair_core::endpoint_api::Resume;
use masticstair_core::id::ModelName;
use masticstair_core::prelude::*;
use serde::Serialize;

use super::stage_input::StageInput;

/// A `RunRequest` that borrows its fields, so that encoding a call copies none of them.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct RunRequestRef<'a> {
    pub(super) request_id: RequestId,
    pub(super) attempt_id: AttemptId,
    pub(super) pipeline: &'a PipelineName,
    pub(super) stage: &'a StageName,
    pub(super) kind: StageKind,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) model: Option<&'a ModelName>,
    pub(super) account: &'a AccountId,
    pub(super) input: StageInput<'a>,
    pub(super) stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) resume_from: Option<&'a Resume>,
}

#[cfg(test)]
mod tests;
