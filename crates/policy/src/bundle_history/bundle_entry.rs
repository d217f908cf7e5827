use masticstair_core::bundle::BundleVersion;
use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::{BundleOutcome, BundleSummary, ChunkDigest, Origin, SignedHeader};

/// A bundle of the history.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleEntry {
    /// The version that the content names; unique in the history.
    pub version: BundleVersion,
    /// The digest of the content; unique in the history.
    pub digest: Sha256Digest,
    /// The command that submitted the content.
    pub submit: SignedHeader,
    /// The chunks of the content in order; none once the content was dropped.
    pub chunks: Option<Box<[ChunkDigest]>>,
    /// One sign-off for each signer, all under the same expected revision.
    pub sign_offs: SmallVec<[SignedHeader; 2]>,
    /// What became of the bundle.
    pub outcome: BundleOutcome,
}

impl BundleEntry {
    /// Describes the bundle for a list.
    pub fn summary(&self) -> BundleSummary {
        BundleSummary {
            version: self.version.clone(),
            digest: self.digest,
            by: self.submit.signer.clone(),
            signed_off_by: self.sign_offs.iter().map(|s| s.signer.clone()).collect(),
            content_kept: self.chunks.is_some(),
            outcome: self.outcome,
        }
    }

    pub(super) fn origin(&self) -> Origin {
        Origin { by: self.submit.signer.clone(), digest: self.digest }
    }
}
