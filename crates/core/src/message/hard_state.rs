use serde::{Deserialize, Serialize};

use crate::id::{ReplicaId, Term};

/// What a replica must have synced before it answers a vote.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen; only rises.
    pub term: Term,
    /// The candidate that got the vote in `term`.
    pub voted_for: Option<ReplicaId>,
}
