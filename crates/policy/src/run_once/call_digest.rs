use masticstair_core::prelude::*;

/// The first 16 bytes of the SHA-256 digest of an account and its key.
///
/// Records are indexed by it, and it is kept after the record of a key without a timestamp has expired. Two
/// keys with the same digest count as one key, so a collision refuses a call and never runs one twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallDigest([u8; 16]);

impl CallDigest {
    /// Creates a digest from its raw bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes, as snapshots store them.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    pub(super) fn truncate(digest: &Sha256Digest) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(bytes)
    }
}
