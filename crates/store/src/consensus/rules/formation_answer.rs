use masticstair_core::id::Term;
use masticstair_core::message::Replica;

/// The state of an initial voter while the group is being formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormationAnswer {
    /// The replica id with its host and data centre.
    pub replica: Replica,
    /// Whether the log is empty and there is no snapshot.
    pub log_is_empty: bool,
    /// The current term; above 0 if the replica voted during an earlier attempt.
    pub term: Term,
}
