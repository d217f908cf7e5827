use masticstair_core::id::{ReplicaId, Term};

/// What a host says about its data folder before a group is formed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormationAnswer {
    /// Whether the folder is new.
    pub new: bool,
    /// The identity of the folder; none when the host has no folder.
    pub replica: Option<ReplicaId>,
    /// The term of the replica; above 0 when it voted in an earlier attempt to form the group.
    pub term: Term,
}
