use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Resume;
use crate::bundle::StageKind;
use crate::id::{AccountId, AttemptId, ModelName, PipelineName, RequestId, StageName};

/// A call of one stage: `POST /v1/run`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// Copied into the response.
    pub request_id: RequestId,
    /// Copied into the response.
    pub attempt_id: AttemptId,
    /// The pipeline that the stage belongs to.
    pub pipeline: PipelineName,
    /// The name of the stage within the pipeline.
    pub stage: StageName,
    /// The kind of the stage and of the endpoint's pool.
    pub kind: StageKind,
    /// `None` if the stage has no model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The client account; endpoints partition their caches by account.
    pub account: AccountId,
    /// For the first stage the body of the client's request; for later stages `{"request", "previous"}`.
    pub input: Value,
    /// Whether the response is a stream of tokens.
    pub stream: bool,
    /// Set to continue a stream that was interrupted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Resume>,
}
