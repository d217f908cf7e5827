use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{BundleOutcome, BundleSummary};
use serde::{Deserialize, Serialize};

/// One bundle in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The value of `version` in the content.
    pub version: BundleVersion,
    /// The SHA-256 digest of the content.
    pub sha256: Sha256Digest,
    /// The operator who submitted it first.
    pub signer: SignerName,
    /// The operators who have signed it off since it was last rolled.
    pub signed_off_by: Vec<SignerName>,
    /// The last revision under which it was in force; `None` if it was never rolled.
    pub revision: Option<Revision>,
    /// Whether its content can still be read and rolled.
    pub content_kept: bool,
}

impl From<BundleSummary> for HistoryEntry {
    fn from(summary: BundleSummary) -> Self {
        Self {
            version: summary.version,
            sha256: summary.digest,
            signer: summary.by,
            signed_off_by: summary.signed_off_by.to_vec(),
            revision: match summary.outcome {
                BundleOutcome::Submitted => None,
                BundleOutcome::Rolled(revision) => Some(revision),
            },
            content_kept: summary.content_kept,
        }
    }
}
