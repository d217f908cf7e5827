use masticstair_core::id::{ReplicaId, Term};

/// The state of a host's data folder, exchanged before a group is formed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormationAnswer {
    /// Whether the folder is new: the log is empty and there is no snapshot. Also true without a folder.
    pub new: bool,
    /// The replica id of the folder; `None` if the host has no data folder.
    pub replica: Option<ReplicaId>,
    /// The term of the replica; above 0 if it voted in an earlier attempt to form the group.
    pub term: Term,
}
