use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::Prompt;

/// What the gateway needs to know of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// The attempt.
    pub call: CallId,
    /// The host that it names, without a port.
    pub host: Box<str>,
    /// The path without the query.
    pub path: Box<str>,
    /// How long the client waits.
    pub budget: Option<Millis>,
    /// The key of the client account.
    pub key: Option<Box<str>>,
    /// The prompt, when the request is a generation.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage; 0 leaves a stage out.
    pub pieces: SmallVec<[u32; 4]>,
    /// What stages without inputs work on.
    pub piece_key: Option<Box<str>>,
    /// The last event that the client has of an earlier attempt.
    pub resume_after: Option<u64>,
}
