use serde::{Deserialize, Serialize};

use super::EntryPayload;
use crate::id::{LogIndex, Term};

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Its position; entries are consecutive.
    pub index: LogIndex,
    /// The term in which a leader appended it.
    pub term: Term,
    /// What it does.
    pub payload: EntryPayload,
}
