use serde::{Deserialize, Serialize};

use super::VoterSet;

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
