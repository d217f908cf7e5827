use super::{BundleEntry, RecordedReply, RevisionEntry};

/// The contents of a `BundleHistory` in a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryParts {
    /// The bundles, oldest first.
    pub entries: Vec<BundleEntry>,
    /// The revisions in ascending order.
    pub revisions: Vec<RevisionEntry>,
    /// The texts of the chunks that the entries refer to, each once.
    pub chunks: Vec<Box<str>>,
    /// The recorded replies, oldest first.
    pub replies: Vec<RecordedReply>,
}
