use serde::{Deserialize, Serialize};

use super::{CancelRequest, EvidenceRequest, ReleaseRequest, StageRequest, SubscribeRequest};

/// A message from one gateway to another.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A host asks a control host for updates.
    #[serde(rename = "Follow")]
    Subscribe(SubscribeRequest),
    /// A host submits a stage to the host that forms the calls of its service.
    Stage(Box<StageRequest>),
    /// The request of a stage has ended.
    Cancel(CancelRequest),
    /// Results of stages are no longer needed.
    Release(ReleaseRequest),
    /// Checks that the host and the connection to it are alive.
    Ping,
    /// A host exchanges evidence on prompts with a control host.
    Evidence(EvidenceRequest),
}
