use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::Prompt;

/// Metadata of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// Identifies this attempt at the request.
    pub call: CallId,
    /// The host name that the request addresses, without a port.
    pub host: Box<str>,
    /// The path without the query.
    pub path: Box<str>,
    /// The client's timeout; none if the request states none.
    pub timeout: Option<Millis>,
    /// The key of the client account.
    pub key: Option<Box<str>>,
    /// Present if the request is a generation.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage; 0 skips a stage.
    pub pieces: SmallVec<[u32; 4]>,
    /// The input of stages that depend on no other stage.
    pub piece_key: Option<Box<str>>,
    /// The attempt that brought the first event of a stream that the client takes up.
    pub resumes: Option<CallId>,
    /// The last event that the client received in an earlier attempt.
    pub resume_after: Option<u64>,
}
