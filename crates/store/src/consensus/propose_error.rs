use masticstair_core::id::LogIndex;
use thiserror::Error;

use super::Refusal;

/// Why a proposal has no reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ProposeError {
    /// The command is not in the log of any replica and never will be.
    #[error("not proposed: {0}")]
    NotProposed(Refusal),
    /// The command was appended to the log of a leader and may be committed now or later.
    #[error("outcome unknown: no reply for the command at index {index}")]
    Unknown {
        /// The index at which the command was appended.
        index: LogIndex,
    },
}
