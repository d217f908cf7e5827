use masticstair_core::prelude::*;

/// The first 16 bytes of the SHA-256 digest of a piece of content.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PieceDigest([u8; 16]);

impl PieceDigest {
    /// Computes the digest of a piece.
    pub fn of(piece: &str) -> Self {
        let digest = Sha256Digest::of(piece.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(bytes)
    }

    /// Wraps the bytes of a digest.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}
