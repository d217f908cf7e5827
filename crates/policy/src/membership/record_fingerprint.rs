use std::fmt;

/// A 4-byte fingerprint of one version of one record.
///
/// A collision of two versions only delays the dissemination of one of them until the next comparison of
/// digests, which uses other hashes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RecordFingerprint(u32);

impl RecordFingerprint {
    /// Wraps a fingerprint, as received from a peer.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the 32-bit value.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RecordFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
