use thiserror::Error;

use super::RestoreError;

/// Why a node could not start.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StartError {
    /// The state machine could not restore the recovered snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The election timeouts and the heartbeat interval are inconsistent.
    #[error(
        "invalid timeouts: the election timeout is {min} to {max} ms and the heartbeat interval \
         {heartbeat} ms (the lower bound must be below the upper bound and at least twice the \
         heartbeat, which must not be 0)"
    )]
    Timings {
        /// The lower bound of the election timeout, in milliseconds.
        min: u64,
        /// The upper bound of the election timeout, in milliseconds.
        max: u64,
        /// The heartbeat interval, in milliseconds.
        heartbeat: u64,
    },
}
