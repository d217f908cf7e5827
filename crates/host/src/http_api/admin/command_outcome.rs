use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What a command did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "done")]
pub enum CommandOutcome {
    /// The content is stored.
    Submitted {
        /// The version that the content names.
        version: BundleVersion,
        /// The digest of the content.
        sha256: Sha256Digest,
        /// The operator who submitted the content first.
        signer: SignerName,
    },
    /// The operator approved the content.
    SignedOff {
        /// The digest of the content.
        sha256: Sha256Digest,
        /// The revision as which it may now be rolled.
        next_revision: Revision,
    },
    /// The content is in force.
    Rolled {
        /// The digest of the content.
        sha256: Sha256Digest,
        /// Its revision.
        revision: Revision,
    },
}
