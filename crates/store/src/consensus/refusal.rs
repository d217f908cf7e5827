use masticstair_core::message::Replica;
use masticstair_core::unit::ByteCount;
use thiserror::Error;

use super::StorageFault;

/// The reason for which a command never entered the log.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// This replica does not lead.
    #[error("not the leader (leader: {})", .leader.as_ref().map_or("unknown", |r| r.host.as_str()))]
    NotLeader {
        /// The leader, when this replica knows one.
        leader: Option<Replica>,
    },
    /// The leader hands over to another replica.
    #[error("leadership is being transferred")]
    Transferring,
    /// The command is too large.
    #[error("command of {size} bytes is too large (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the command.
        size: ByteCount,
        /// The bound.
        limit: ByteCount,
    },
    /// Too much of the log is not committed.
    #[error("{held} bytes of the log are not committed (at most {limit} are allowed)")]
    Full {
        /// The size of the entries that are not committed.
        held: ByteCount,
        /// The bound.
        limit: ByteCount,
    },
    /// Storage failed earlier.
    #[error(transparent)]
    Storage(StorageFault),
    /// The node was stopped.
    #[error("the node was stopped")]
    Stopped,
}
