use masticstair_core::message::Replica;
use masticstair_core::unit::Millis;
use thiserror::Error;

/// Why a read was not answered.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadError {
    /// This replica is not the leader, or lost the leadership during the read.
    #[error("not the leader (leader: {})", .leader.as_ref().map_or("unknown", |r| r.host.as_str()))]
    NotLeader {
        /// The leader, if known.
        leader: Option<Replica>,
    },
    /// No quorum confirmed the leadership within the timeout.
    #[error("read was not confirmed by a quorum within {0} ms")]
    TimedOut(Millis),
}
