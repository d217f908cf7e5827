use std::fmt;

/// One version of one record, in 4 bytes.
///
/// Two versions with one mark only delay the spread of one of them until the next comparison of digests,
/// which uses other hashes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RecordFingerprint(u32);

impl RecordFingerprint {
    /// Wraps a raw value.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the raw value.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RecordFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
