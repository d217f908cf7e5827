use serde::{Deserialize, Serialize};

use super::VoterSet;
use crate::id::{LogIndex, Term};

/// What a snapshot stands for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot contains.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: VoterSet,
    /// The size of the data in bytes.
    pub size: u64,
}
