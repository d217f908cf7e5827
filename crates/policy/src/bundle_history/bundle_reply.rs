use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;

use super::BundleRefusal;

/// The reply to a `BundleCommand`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BundleReply {
    /// The content is stored.
    Submitted {
        /// The version that the content names.
        version: BundleVersion,
        /// The digest of the content.
        digest: Sha256Digest,
        /// The operator who submitted the content first.
        by: SignerName,
    },
    /// The signer approved the content.
    SignedOff {
        /// The digest of the content.
        digest: Sha256Digest,
        /// The revision as which the content may now be rolled.
        next: Revision,
    },
    /// The content is in force.
    Rolled {
        /// The digest of the content.
        digest: Sha256Digest,
        /// Its revision.
        revision: Revision,
    },
    /// The command was refused and changed no bundle.
    Refused(BundleRefusal),
}
