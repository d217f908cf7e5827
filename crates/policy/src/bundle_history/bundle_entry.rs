use masticstair_core::bundle::BundleVersion;
use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::{BundleOutcome, BundleSummary, ChunkDigest, Origin, SignedHeader};

/// A bundle in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleEntry {
    /// The version that the content names; unique in the history.
    pub version: BundleVersion,
    /// The digest of the content; unique in the history.
    pub digest: Sha256Digest,
    /// The header of the command that submitted the content.
    pub submit: SignedHeader,
    /// The chunks of the content in order; `None` once the content was removed.
    pub chunks: Option<Box<[ChunkDigest]>>,
    /// At most one sign-off for each signer, all with the same expected revision.
    pub sign_offs: SmallVec<[SignedHeader; 2]>,
    /// Whether the bundle was rolled, and as which revision.
    pub outcome: BundleOutcome,
}

impl BundleEntry {
    /// Returns the bundle as it is listed for operators.
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
