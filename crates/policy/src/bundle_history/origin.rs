use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use std::fmt;

/// The signer and the content of an earlier command, for refusals that refer to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The signer of the earlier command.
    pub by: SignerName,
    /// The digest of the content that the earlier command concerned.
    pub digest: Sha256Digest,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with content {}", self.by, self.digest)
    }
}
