use masticstair_core::prelude::*;

use super::{CallKey, Claimant};

/// A request's claim to run a call; proposed before the call is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The account and the key that the claim is for.
    pub call: CallKey,
    /// The digest of the request body; another body under the same key is a conflict.
    pub body: Sha256Digest,
    /// The request whose task proposes the claim; only it may send the call.
    pub request: RequestId,
    /// The process that runs the request, and the time that the request has left.
    pub claimant: Claimant,
}
