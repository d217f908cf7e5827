use masticstair_core::prelude::*;

use super::{Claimant, RecordedAnswer};

/// How far a call came.
///
/// `Claimed` goes to any other state. `Unknown` goes to `Done`, `Failed` or `Released` by the word of the
/// claimant. `Done` and `Failed` are final. `Released` goes to `Claimed` by another request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordState {
    /// The claimant may send the call, or has sent it.
    Claimed {
        /// The digest of the request body.
        body: Sha256Digest,
        /// Where the claiming request runs.
        claimant: Claimant,
    },
    /// The claimant is gone or late; the call may have run.
    Unknown {
        /// The digest of the request body.
        body: Sha256Digest,
    },
    /// The endpoint ran the call.
    Done {
        /// The digest of the request body.
        body: Sha256Digest,
        /// What the endpoint answered.
        answer: RecordedAnswer,
    },
    /// The endpoint said that the call failed.
    Failed {
        /// The digest of the request body.
        body: Sha256Digest,
        /// What the endpoint answered.
        answer: RecordedAnswer,
    },
    /// The claimant certified that it did not and will not send the call.
    Released,
}

impl RecordState {
    /// Returns the digest of the request body; none once the claim was released.
    pub const fn body(&self) -> Option<&Sha256Digest> {
        match self {
            Self::Claimed { body, .. }
            | Self::Unknown { body }
            | Self::Done { body, .. }
            | Self::Failed { body, .. } => Some(body),
            Self::Released => None,
        }
    }

    /// Returns the recorded answer of a final state.
    pub const fn answer(&self) -> Option<&RecordedAnswer> {
        match self {
            Self::Done { answer, .. } | Self::Failed { answer, .. } => Some(answer),
            _ => None,
        }
    }
}
