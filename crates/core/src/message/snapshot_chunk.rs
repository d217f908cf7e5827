use super::SnapshotMeta;
use crate::id::{ReplicaId, Term};

/// A chunk of a snapshot, sent by the leader to a replica that needs entries which are no longer in
/// the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotChunk {
    /// The term of the leader.
    pub term: Term,
    /// The replica that sends the chunk.
    pub leader: ReplicaId,
    /// Describes the whole snapshot; equal in all of its chunks.
    pub meta: SnapshotMeta,
    /// The offset of `data` in bytes; chunks are sent in order.
    pub offset: u64,
    /// At most 64 KiB.
    pub data: Box<[u8]>,
    /// Whether this is the last chunk.
    pub last: bool,
}
