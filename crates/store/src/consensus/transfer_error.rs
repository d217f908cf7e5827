use masticstair_core::unit::Millis;
use thiserror::Error;

/// Why the leadership was not transferred.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TransferError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader,
    /// No other voter replied within the shortest election timeout.
    #[error("no other voter is reachable")]
    NoSuccessor,
    /// The successor did not become leader within the timeout; this replica may still lead.
    #[error("the successor did not become leader within {0} ms")]
    TimedOut(Millis),
}
