use serde::{Deserialize, Serialize};

use crate::id::{ReplicaId, Term};

/// The state that a replica must sync to disk before it replies to a vote request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen; never decreases.
    pub term: Term,
    /// The candidate that the replica voted for in `term`; `None` if it has not voted.
    pub voted_for: Option<ReplicaId>,
}
