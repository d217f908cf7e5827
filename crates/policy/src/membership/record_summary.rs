use super::{RecordFingerprint, RecordKey};

/// A record in a digest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordSummary {
    /// The record.
    pub key: RecordKey,
    /// Hash of its version.
    pub version: u32,
}

impl RecordSummary {
    /// Returns the mark of this version of the record.
    pub fn fingerprint(&self) -> RecordFingerprint {
        let hash = self.key.get() ^ u64::from(self.version).rotate_left(16);
        RecordFingerprint::new((hash ^ hash >> 32) as u32)
    }
}
