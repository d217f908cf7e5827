use masticstair_core::prelude::*;

/// The first 16 bytes of the SHA-256 digest of an account and its key.
///
/// Records are indexed under it, and it remains when the record of a key without a time has expired. Two
/// keys with one digest would be taken for the same key, so that the second is refused and never run
/// twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallDigest([u8; 16]);

impl CallDigest {
    /// Wraps the bytes of a digest.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    pub(super) fn truncate(digest: &Sha256Digest) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(bytes)
    }
}
