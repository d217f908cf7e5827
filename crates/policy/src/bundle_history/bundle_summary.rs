use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::BundleOutcome;

/// A bundle as it is listed for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleSummary {
    /// The version that the content names.
    pub version: BundleVersion,
    /// The digest of the whole document, by which commands refer to the bundle.
    pub digest: Sha256Digest,
    /// The signer of the submit.
    pub by: SignerName,
    /// The signers of the sign-offs since the bundle was last rolled.
    pub signed_off_by: SmallVec<[SignerName; 2]>,
    /// Whether the content is still stored.
    pub content_kept: bool,
    /// Whether the bundle was rolled, and as which revision.
    pub outcome: BundleOutcome,
}
