use masticstair_core::bundle::{Bundle, BundleVersion};
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One of the two bundles of a comparison.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffSide {
    /// The revision of the bundle in force; `None` for the other bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The value of `version` in the content.
    pub version: BundleVersion,
    /// The SHA-256 digest of the content.
    pub sha256: Sha256Digest,
}

impl DiffSide {
    pub(super) fn of(revision: Option<Revision>, bundle: &Bundle) -> Self {
        Self { revision, version: bundle.version.clone(), sha256: bundle.digest }
    }
}
