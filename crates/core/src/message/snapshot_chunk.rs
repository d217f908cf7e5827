use super::SnapshotMeta;
use crate::id::{ReplicaId, Term};

/// One piece of a snapshot from the leader to a replica that is behind the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotChunk {
    /// The term of the leader.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The snapshot.
    pub meta: SnapshotMeta,
    /// Where `data` begins; pieces come in order.
    pub offset: u64,
    /// At most 64 KiB.
    pub data: Box<[u8]>,
    /// Whether this is the last piece.
    pub last: bool,
}
