use serde::{Deserialize, Serialize};

use super::VoterSet;
use crate::id::{LogIndex, ReplicaId, Term};

/// What a snapshot stands for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot contains.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: VoterSet,
    /// The size of the data in bytes.
    pub size: u64,
}

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

/// The answer to a `SnapshotChunk`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SnapshotReply {
    /// The term of the replica.
    pub term: Term,
    /// The offset that the replica expects next; the whole size once it has installed the snapshot.
    pub next_offset: u64,
}
