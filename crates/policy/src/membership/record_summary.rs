use super::{RecordFingerprint, RecordKey};

/// The version of a record in a digest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordSummary {
    /// The key of the record.
    pub key: RecordKey,
    /// Hash of the version fields of the record.
    pub version: u32,
}

impl RecordSummary {
    /// Returns the fingerprint of this version of the record.
    pub fn fingerprint(&self) -> RecordFingerprint {
        let hash = self.key.get() ^ u64::from(self.version).rotate_left(16);
        RecordFingerprint::new((hash ^ hash >> 32) as u32)
    }
}
