use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The answer to `GET /v1/bundles/{sha256}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleContent {
    /// The SHA-256 digest of `content`.
    pub sha256: Sha256Digest,
    /// The TOML text of the bundle, byte for byte as submitted.
    pub content: Box<str>,
}
