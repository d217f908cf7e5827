use masticstair_core::id::LogIndex;
use masticstair_core::message::{AppendReply, SnapshotReply};

use crate::consensus::LinkError;

/// How a call to a peer ended.
#[derive(Debug)]
pub(crate) enum PeerReply {
    /// A heartbeat.
    Heartbeat {
        /// The entry that the heartbeat asked about.
        last: LogIndex,
        /// The answer.
        reply: Result<AppendReply, LinkError>,
    },
    /// Entries or a probe.
    Append {
        /// The last entry sent, or the entry that the probe asked about.
        last: LogIndex,
        /// The answer.
        reply: Result<AppendReply, LinkError>,
    },
    /// A piece of a snapshot.
    Chunk {
        /// The last entry that the snapshot contains.
        index: LogIndex,
        /// The size of the snapshot.
        size: u64,
        /// Where the piece began.
        offset: u64,
        /// The answer.
        reply: Result<SnapshotReply, LinkError>,
    },
}
