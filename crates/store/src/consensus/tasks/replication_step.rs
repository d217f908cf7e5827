use masticstair_core::message::{AppendRequest, SnapshotChunk};
use std::time::Duration;

/// What the replication task of a peer does next.
#[derive(Debug)]
pub(crate) enum ReplicationStep {
    /// The task ends: the term or the membership of the peer is over.
    End,
    /// Nothing is to be sent for this long.
    Wait(Duration),
    /// Send a heartbeat.
    Heartbeat(AppendRequest),
    /// Send entries or a probe.
    Append(AppendRequest),
    /// Send a piece of a snapshot.
    Chunk(Box<SnapshotChunk>),
}
