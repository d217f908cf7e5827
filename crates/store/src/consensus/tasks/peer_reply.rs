use masticstair_core::id::LogIndex;
use masticstair_core::message::{AppendReply, SnapshotReply};

use crate::consensus::LinkError;

/// The result of a call to a peer.
#[derive(Debug)]
pub(crate) enum PeerReply {
    Heartbeat {
        /// The index that the heartbeat refers to.
        last: LogIndex,
        reply: Result<AppendReply, LinkError>,
    },
    /// Entries or a probe.
    Append {
        /// The last index sent, or the index that the probe refers to.
        last: LogIndex,
        reply: Result<AppendReply, LinkError>,
    },
    Chunk {
        /// The last index that the snapshot contains.
        index: LogIndex,
        /// The size of the snapshot in bytes.
        size: u64,
        /// The offset of the chunk in bytes.
        offset: u64,
        reply: Result<SnapshotReply, LinkError>,
    },
}
