use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use std::fmt;

/// Who brought what into force or into the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The operator.
    pub by: SignerName,
    /// The digest of the content.
    pub digest: Sha256Digest,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with content {}", self.by, self.digest)
    }
}
