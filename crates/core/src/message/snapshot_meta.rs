use serde::{Deserialize, Serialize};

use super::VoterSet;
use crate::id::{LogIndex, Term};

/// The log position, the voters and the size of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: VoterSet,
    /// The size of the data in bytes.
    pub size: u64,
}
