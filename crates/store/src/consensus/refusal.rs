use masticstair_core::message::Replica;
use masticstair_core::unit::ByteCount;
use thiserror::Error;

use super::ReplicaFault;

/// Why a command was not appended to the log.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// This replica is not the leader.
    #[error("not the leader (leader: {})", .leader.as_ref().map_or("unknown", |r| r.host.as_str()))]
    NotLeader {
        /// The leader, if known.
        leader: Option<Replica>,
    },
    /// A leadership transfer is in progress.
    #[error("leadership is being transferred")]
    Transferring,
    /// The command exceeds `Config::max_command`.
    #[error("command of {size} bytes is too large (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the command.
        size: ByteCount,
        /// The maximum size of a command.
        limit: ByteCount,
    },
    /// The uncommitted entries reached `Config::max_uncommitted`.
    #[error("{held} bytes of the log are not committed (at most {limit} are allowed)")]
    Full {
        /// The size of the uncommitted entries, without the refused command.
        held: ByteCount,
        /// The maximum size of uncommitted entries.
        limit: ByteCount,
    },
    /// The node acknowledges nothing after its first fault.
    #[error(transparent)]
    Fault(ReplicaFault),
    /// The node was stopped.
    #[error("the node was stopped")]
    Stopped,
}
