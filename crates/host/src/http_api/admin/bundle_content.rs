use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The content of a bundle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleContent {
    /// The digest of the content.
    pub sha256: Sha256Digest,
    /// The TOML text.
    pub content: Box<str>,
}
