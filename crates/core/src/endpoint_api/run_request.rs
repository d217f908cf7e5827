use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Resume;
use crate::bundle::StageKind;
use crate::id::{AccountId, AttemptId, ModelName, PipelineName, RequestId, StageName};

/// A call of one stage: `POST /v1/run`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// The request; the answer echoes it.
    pub request_id: RequestId,
    /// The attempt; the answer echoes it.
    pub attempt_id: AttemptId,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The stage.
    pub stage: StageName,
    /// The kind of the stage.
    pub kind: StageKind,
    /// The model, where the stage has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The client account; caches are kept apart by it.
    pub account: AccountId,
    /// The caller's body for the first stage; `{"request", "previous"}` for the later ones.
    pub input: Value,
    /// Whether the answer is a stream of tokens.
    pub stream: bool,
    /// Where a broken stream goes on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Resume>,
}
