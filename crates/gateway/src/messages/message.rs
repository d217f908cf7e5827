use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{CancelRequest, FollowReply, FollowRequest, ReleaseRequest, StageAnswer, StageRequest};

/// A message of one gateway to another.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An entry host follows a control host.
    Follow(FollowRequest),
    /// A host gives a stage of a request to the host that forms the calls.
    Stage(Box<StageRequest>),
    /// The request of a stage has ended.
    Cancel(CancelRequest),
    /// Results of stages are no longer needed.
    Release(ReleaseRequest),
    /// Asks for an answer, which shows that the host and the connection to it live.
    Ping,
}

/// The answer to a message.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To `Follow`.
    Follow(Box<FollowReply>),
    /// To `Stage`.
    Stage(StageAnswer),
    /// To the other messages.
    Done,
    /// This host does not serve the message.
    Refused(Box<str>),
}

/// Encodes a message or a reply.
///
/// # Errors
///
/// Returns the reason of the encoder.
pub fn encode(value: &impl Serialize) -> Result<Box<[u8]>, Box<str>> {
    postcard::to_allocvec(value).map(Into::into).map_err(|e| e.to_string().into())
}

/// Decodes a message or a reply.
///
/// # Errors
///
/// Returns the reason of the decoder.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    postcard::from_bytes(bytes).map_err(|e| e.to_string().into())
}
