use masticstair_core::prelude::*;

use super::{Claimant, RecordedAnswer};

/// The state of a call.
///
/// `Claimed` can change to any other state. `Unknown` changes to `Done`, `Failed` or `Released` when the
/// claimant reports the outcome. `Done` and `Failed` are final. `Released` changes to `Claimed` when another
/// request claims the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordState {
    /// The claimant may send the call, or has sent it.
    Claimed {
        /// The digest of the request body.
        body: Sha256Digest,
        /// The process that runs the claiming request.
        claimant: Claimant,
    },
    /// The claimant has stopped or exceeded its deadline; the call may have run.
    Unknown {
        /// The digest of the request body.
        body: Sha256Digest,
    },
    /// The endpoint ran the call.
    Done {
        /// The digest of the request body.
        body: Sha256Digest,
        /// The answer of the endpoint, within the limits of the table.
        answer: RecordedAnswer,
    },
    /// The endpoint answered that the call failed.
    Failed {
        /// The digest of the request body.
        body: Sha256Digest,
        /// The answer of the endpoint, within the limits of the table.
        answer: RecordedAnswer,
    },
    /// The claimant certified that it did not and will not send the call.
    Released,
}

impl RecordState {
    /// Returns the digest of the request body; `None` once the claim was released.
    pub const fn body(&self) -> Option<&Sha256Digest> {
        match self {
            Self::Claimed { body, .. }
            | Self::Unknown { body }
            | Self::Done { body, .. }
            | Self::Failed { body, .. } => Some(body),
            Self::Released => None,
        }
    }

    /// Returns the recorded answer; `None` unless the state is final.
    pub const fn answer(&self) -> Option<&RecordedAnswer> {
        match self {
            Self::Done { answer, .. } | Self::Failed { answer, .. } => Some(answer),
            _ => None,
        }
    }
}
