use thiserror::Error;

use super::RestoreError;

/// The reason for which a node does not start.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StartError {
    /// The replicated state refuses the recovered snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The bounds contradict each other.
    #[error(
        "election timeout of {min} to {max} ms must rise and be at least twice the heartbeat of {heartbeat} ms"
    )]
    Timings {
        /// The shortest election timeout in milliseconds.
        min: u64,
        /// The longest election timeout in milliseconds.
        max: u64,
        /// The heartbeat in milliseconds.
        heartbeat: u64,
    },
}
