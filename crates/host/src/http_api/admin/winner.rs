use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::Origin;
use serde::{Deserialize, Serialize};

/// The earlier command that a refused command conflicts with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// The operator who signed it.
    pub signer: SignerName,
    /// The digest of the bundle that it concerns.
    pub sha256: Sha256Digest,
}

impl From<Origin> for Winner {
    fn from(origin: Origin) -> Self {
        Self { signer: origin.by, sha256: origin.digest }
    }
}
