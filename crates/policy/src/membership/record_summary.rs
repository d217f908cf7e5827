use super::RecordKey;

/// A record in a digest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordSummary {
    /// The record.
    pub key: RecordKey,
    /// Hash of its version.
    pub version: u32,
}
