use masticstair_core::bundle::{BundleVersion, Right};
use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;
use thiserror::Error;

use super::Origin;

/// The reason why a bundle command is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BundleRefusal {
    /// No signer has this name.
    #[error("signer {0} is not among the signers in force")]
    UnknownSigner(SignerName),
    /// The signer does not have the right that the command needs.
    #[error("signer {signer} does not have the right {right}")]
    NoRight {
        /// The signer of the command.
        signer: SignerName,
        /// The right that the command needs.
        right: Right,
    },
    /// The signature belongs to another text or another key.
    #[error("the signature does not verify with the key of signer {0}")]
    BadSignature(SignerName),
    /// The id was used by another command.
    #[error("command id {id} was used for another {kind} by {origin}")]
    IdReused {
        /// The id that both commands have.
        id: CommandId,
        /// The kind of the first command.
        kind: Right,
        /// The signer and the content of the first command.
        origin: Origin,
    },
    /// Another revision is in force than the command expects.
    #[error(
        "revision {expected} was expected, but revision {current} is in force{}",
        rolled_by(winner)
    )]
    RevisionMoved {
        /// The revision that the command expects.
        expected: Revision,
        /// The revision in force; 0 before the first roll.
        current: Revision,
        /// The roll of the revision in force; `None` before the first roll.
        winner: Option<Origin>,
    },
    /// The content is larger than `MAX_CONTENT_SIZE`.
    #[error("the bundle has {size} bytes (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the refused content.
        size: ByteCount,
        /// The largest size that is accepted.
        limit: ByteCount,
    },
    /// The content does not parse or validate as a bundle.
    #[error("the bundle has {total} errors:\n{}", errors.join("\n"))]
    Invalid {
        /// The errors in the order of the document, at most `MAX_REPORTED_ERRORS`.
        errors: Box<[Box<str>]>,
        /// The number of errors, including those that are not listed.
        total: u32,
    },
    /// Another content has the same version.
    #[error("version {version} was submitted by {origin}")]
    VersionTaken {
        /// The version that both contents name.
        version: BundleVersion,
        /// The first submit of the version.
        origin: Origin,
    },
    /// The history has no content with this digest.
    #[error("no bundle with content {0} is known; submit it first")]
    UnknownBundle(Sha256Digest),
    /// The content was removed to keep the history within `MAX_STORED_CONTENTS`.
    #[error("the content {0} is no longer kept; submit it again")]
    ContentDropped(Sha256Digest),
    /// The base of a change is not stored, or the change does not produce the signed content. The refusal
    /// is not recorded, so that the same command can be resent with the whole content.
    #[error("the change does not fit content {0}; send the whole content")]
    ChangeMismatch(Sha256Digest),
    /// No operator approved the content for the next revision.
    #[error("content {digest} has no sign-off for revision {next}")]
    NotSignedOff {
        /// The digest of the content that was to be rolled.
        digest: Sha256Digest,
        /// The revision as which it was to be rolled.
        next: Revision,
    },
}

fn rolled_by(winner: &Option<Origin>) -> String {
    winner.as_ref().map_or_else(String::new, |origin| format!(", rolled by {origin}"))
}
