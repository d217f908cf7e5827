use masticstair_core::prelude::*;

/// The first 16 bytes of the SHA-256 digest of a chunk of content.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkDigest([u8; 16]);

impl ChunkDigest {
    /// Computes the digest of a chunk.
    pub fn of(chunk: &str) -> Self {
        let digest = Sha256Digest::of(chunk.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(bytes)
    }

    /// Creates a digest from its raw bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes, as snapshots store them.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}
