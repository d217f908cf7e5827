use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::Origin;
use serde::{Deserialize, Serialize};

/// The operator whose command came first, and its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// The operator.
    pub signer: SignerName,
    /// The digest of the content.
    pub sha256: Sha256Digest,
}

impl From<Origin> for Winner {
    fn from(origin: Origin) -> Self {
        Self { signer: origin.by, sha256: origin.digest }
    }
}
