use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Replica;
use crate::id::ReplicaId;

/// The voters and learners of the replicated log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// At most 7 replicas that count towards a quorum; ids are unique across both lists.
    pub voters: SmallVec<[Replica; 7]>,
    /// Replicas that receive the log but do not vote.
    pub learners: SmallVec<[Replica; 2]>,
}

impl VoterSet {
    /// Returns the size of a quorum: a majority of the voters.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica counts towards a quorum.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|r| r.id == id)
    }

    /// Returns every replica, voters first.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.voters.iter().chain(&self.learners)
    }
}
