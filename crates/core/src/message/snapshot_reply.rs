use crate::id::Term;

/// The answer to a `SnapshotChunk`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SnapshotReply {
    /// The term of the replica.
    pub term: Term,
    /// The offset that the replica expects next; the whole size once it has installed the snapshot.
    pub next_offset: u64,
}
