use serde::{Deserialize, Serialize};

use super::{CancelRequest, ReleaseRequest, StageRequest, SubscribeRequest};

/// A message of one gateway to another.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An entry host follows a control host.
    #[serde(rename = "Follow")]
    Subscribe(SubscribeRequest),
    /// A host gives a stage of a request to the host that forms the calls.
    Stage(Box<StageRequest>),
    /// The request of a stage has ended.
    Cancel(CancelRequest),
    /// Results of stages are no longer needed.
    Release(ReleaseRequest),
    /// Asks for an answer, which shows that the host and the connection to it live.
    Ping,
}
