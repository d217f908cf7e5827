use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;

use super::BundleRefusal;

/// The reply to a `BundleCommand`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BundleReply {
    /// The content is stored, by this command or an earlier submit.
    Submitted {
        /// The version that the content names.
        version: BundleVersion,
        /// The digest of the whole document.
        digest: Sha256Digest,
        /// The operator who submitted the content first.
        by: SignerName,
    },
    /// The sign-off counts for the next revision.
    SignedOff {
        /// The digest of the whole document.
        digest: Sha256Digest,
        /// The revision as which the content may now be rolled.
        next: Revision,
    },
    /// The content is in force.
    Rolled {
        /// The digest of the whole document.
        digest: Sha256Digest,
        /// The revision that this roll created.
        revision: Revision,
    },
    /// The command was refused and changed no bundle.
    Refused(BundleRefusal),
}
