use masticstair_core::message::Replica;
use masticstair_core::unit::Millis;
use thiserror::Error;

/// The reason for which a read has no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadError {
    /// This replica does not lead, or lost the leadership during the read.
    #[error("not the leader (leader: {})", .leader.as_ref().map_or("unknown", |r| r.host.as_str()))]
    NotLeader {
        /// The leader, when this replica knows one.
        leader: Option<Replica>,
    },
    /// No quorum confirmed the leadership in time.
    #[error("read was not confirmed by a quorum within {0} ms")]
    TimedOut(Millis),
}
