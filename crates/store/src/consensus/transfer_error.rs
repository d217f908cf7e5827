use masticstair_core::unit::Millis;
use thiserror::Error;

/// The reason for which the leadership was not transferred.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TransferError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader,
    /// No other voter answers.
    #[error("no other voter answers")]
    NoSuccessor,
    /// The successor did not lead in time; this replica may still lead.
    #[error("leadership was not transferred within {0} ms")]
    TimedOut(Millis),
}
