use super::{BundleEntry, RecordedReply, RevisionEntry};

/// The parts of a history in a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryParts {
    /// The bundles, oldest first.
    pub entries: Vec<BundleEntry>,
    /// The revisions, rising.
    pub revisions: Vec<RevisionEntry>,
    /// The texts of the chunks that the entries name.
    pub chunks: Vec<Box<str>>,
    /// The recorded replies, oldest first.
    pub replies: Vec<RecordedReply>,
}
