use masticstair_core::id::Term;
use masticstair_core::message::Replica;

/// What an initial voter answers about its data folder while the group is being formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormationAnswer {
    /// The replica.
    pub replica: Replica,
    /// Whether its log is empty and it has no snapshot.
    pub is_empty: bool,
    /// Its term; above 0 when it voted for a replica of an earlier attempt.
    pub term: Term,
}
