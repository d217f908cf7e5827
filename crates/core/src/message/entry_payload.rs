use serde::{Deserialize, Serialize};

use super::VoterSet;

/// The content of a log entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryPayload {
    /// No change. A new leader appends it to commit the entries of earlier terms.
    Noop,
    /// An encoded command for the replicated state.
    Command(Box<[u8]>),
    /// A change of the voters. It takes effect when it is appended to the log, before it is committed.
    Voters(Box<VoterSet>),
}
