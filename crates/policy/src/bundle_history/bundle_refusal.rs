use masticstair_core::bundle::{BundleVersion, Right};
use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;
use thiserror::Error;

use super::Origin;

/// The reason for which a bundle command is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BundleRefusal {
    /// No signer has this name.
    #[error("signer {0} is not among the signers in force")]
    UnknownSigner(SignerName),
    /// The signer may not give this command.
    #[error("signer {signer} does not have the right {right}")]
    NoRight {
        /// The operator.
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
        /// The id.
        id: CommandId,
        /// The kind of the first command.
        kind: Right,
        /// Who gave the first command, for what content.
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
        /// The revision in force.
        current: Revision,
        /// Who rolled the revision in force; none before the first roll.
        winner: Option<Origin>,
    },
    /// The content is larger than the bound.
    #[error("the bundle has {size} bytes (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the content.
        size: ByteCount,
        /// The bound.
        limit: ByteCount,
    },
    /// The content is not a bundle that can work.
    #[error("the bundle has {total} errors:\n{}", errors.join("\n"))]
    Invalid {
        /// The errors in the order of the document, at most `MAX_REPORTED_ERRORS`.
        errors: Box<[Box<str>]>,
        /// The number of all errors.
        total: u32,
    },
    /// Another content has the same version.
    #[error("version {version} was submitted by {origin}")]
    VersionTaken {
        /// The version that both contents name.
        version: BundleVersion,
        /// Who submitted it first.
        origin: Origin,
    },
    /// No content with this digest was submitted lately.
    #[error("no bundle with content {0} is known; submit it first")]
    UnknownBundle(Sha256Digest),
    /// The content was dropped, since newer bundles took its place.
    #[error("the content {0} is no longer kept; submit it again")]
    ContentDropped(Sha256Digest),
    /// The base of a change is not kept, or the change does not give the content that was signed. The
    /// refusal is not recorded: the same command may come again with the whole content.
    #[error("the change does not fit content {0}; send the whole content")]
    ChangeMismatch(Sha256Digest),
    /// No operator approved the content for the next revision.
    #[error("content {digest} has no sign-off for revision {next}")]
    NotSignedOff {
        /// The digest of the content.
        digest: Sha256Digest,
        /// The revision as which it was to be rolled.
        next: Revision,
    },
}

fn rolled_by(winner: &Option<Origin>) -> String {
    winner.as_ref().map_or_else(String::new, |origin| format!(", rolled by {origin}"))
}
