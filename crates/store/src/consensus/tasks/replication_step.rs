use masticstair_core::message::{AppendRequest, SnapshotChunk};
use std::time::Duration;

/// The next action of the replication task of a peer.
#[derive(Debug)]
pub(crate) enum ReplicationStep {
    /// End the task: this replica no longer leads the term, or the peer is no longer a member.
    End,
    /// Send nothing for this duration, unless the state changes.
    Wait(Duration),
    Heartbeat(AppendRequest),
    /// Send entries, or a probe without entries.
    Append(AppendRequest),
    Chunk(Box<SnapshotChunk>),
}
