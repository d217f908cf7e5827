use crate::id::Term;

/// The reply to a `SnapshotChunk`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SnapshotReply {
    /// The term of the replica.
    pub term: Term,
    /// The offset of the next chunk that the replica expects, in bytes; the size of the snapshot once it is
    /// installed.
    pub next_offset: u64,
}
