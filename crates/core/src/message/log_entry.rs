use serde::{Deserialize, Serialize};

use super::EntryPayload;
use crate::id::{LogIndex, Term};

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// The position in the log; entries are consecutive.
    pub index: LogIndex,
    /// The term in which a leader appended it.
    pub term: Term,
    /// The command or the change of voters that the entry contains.
    pub payload: EntryPayload,
}
