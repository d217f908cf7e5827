use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The answer to a command that took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "done")]
pub enum CommandOutcome {
    /// The content is stored.
    Submitted {
        /// The value of `version` in the content.
        version: BundleVersion,
        /// The SHA-256 digest of the content.
        sha256: Sha256Digest,
        /// The operator who submitted the content first, who may be another than the sender.
        signer: SignerName,
    },
    /// The sign-off is recorded.
    SignedOff {
        /// The SHA-256 digest of the content.
        sha256: Sha256Digest,
        /// The number that the revision gets if it is rolled next.
        next_revision: Revision,
    },
    /// The content is in force.
    Rolled {
        /// The SHA-256 digest of the content.
        sha256: Sha256Digest,
        /// The revision under which it is in force.
        revision: Revision,
    },
}
