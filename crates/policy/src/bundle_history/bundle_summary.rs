use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::BundleOutcome;

/// A bundle in a list for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleSummary {
    /// The version that the content names.
    pub version: BundleVersion,
    /// The digest of the content.
    pub digest: Sha256Digest,
    /// Who submitted it.
    pub by: SignerName,
    /// Who signed it off since it was last rolled.
    pub signed_off_by: SmallVec<[SignerName; 2]>,
    /// Whether the content is still kept.
    pub content_kept: bool,
    /// What became of the bundle.
    pub outcome: BundleOutcome,
}
