use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{BundleOutcome, BundleSummary};
use serde::{Deserialize, Serialize};

/// A bundle of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version that the content names.
    pub version: BundleVersion,
    /// The digest of the content.
    pub sha256: Sha256Digest,
    /// Who submitted it.
    pub signer: SignerName,
    /// Who signed it off since it was last rolled.
    pub signed_off_by: Vec<SignerName>,
    /// The last revision as which it was in force, if any.
    pub revision: Option<Revision>,
    /// Whether its content is still kept.
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
