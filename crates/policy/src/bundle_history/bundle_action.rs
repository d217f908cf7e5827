use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;

use super::ContentChange;

/// The operation of a bundle command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BundleAction {
    /// Stores a bundle document of at most `MAX_CONTENT_SIZE`.
    Submit(Box<str>),
    /// Stores a document that is sent as the change of a stored one; has the same effect as `Submit`.
    SubmitChange(ContentChange),
    /// Approves stored content for the next revision.
    SignOff(Sha256Digest),
    /// Puts approved content in force as the next revision.
    Roll(Sha256Digest),
}

impl BundleAction {
    /// Returns the right that the signer needs, which also names the kind of the command.
    pub const fn right(&self) -> Right {
        match self {
            Self::Submit(_) | Self::SubmitChange(_) => Right::Submit,
            Self::SignOff(_) => Right::SignOff,
            Self::Roll(_) => Right::Roll,
        }
    }

    /// Returns the digest of the whole document, also for a change.
    pub fn digest(&self) -> Sha256Digest {
        match self {
            Self::Submit(content) => Sha256Digest::of(content.as_bytes()),
            Self::SubmitChange(change) => change.digest,
            Self::SignOff(digest) | Self::Roll(digest) => *digest,
        }
    }
}
