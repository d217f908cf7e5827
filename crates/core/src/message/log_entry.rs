use serde::{Deserialize, Serialize};

use super::VoterSet;
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

/// What a log entry does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryPayload {
    /// Nothing; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// An encoded command for the replicated state.
    Command(Box<[u8]>),
    /// A change of the voters; in force from the moment it is in the log.
    Voters(Box<VoterSet>),
}
