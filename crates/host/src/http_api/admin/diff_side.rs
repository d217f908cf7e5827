use masticstair_core::bundle::{Bundle, BundleVersion};
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One of the two bundles.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffSide {
    /// The revision, for the bundle in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The version that the content names.
    pub version: BundleVersion,
    /// The digest of the content.
    pub sha256: Sha256Digest,
}

impl DiffSide {
    pub(super) fn of(revision: Option<Revision>, bundle: &Bundle) -> Self {
        Self { revision, version: bundle.version.clone(), sha256: bundle.digest }
    }
}
