use masticstair_core::id::{LogIndex, Term};
use masticstair_core::prelude::*;
use masticstair_store::consensus::NodeStatus;
use serde::{Deserialize, Serialize};

use super::VoterProgress;

/// The group of voters as its leader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// The leader.
    pub leader: HostId,
    /// Its term.
    pub term: Term,
    /// The last entry of its log.
    pub last: LogIndex,
    /// The last entry that a quorum holds.
    pub commit: LogIndex,
    /// Whether a change of the voters is in progress.
    pub changing: bool,
    /// The voters and the replicas without a vote.
    pub voters: Vec<VoterProgress>,
}

impl LeaderStatus {
    /// Asks for this in place of an encoded query, which never begins with this byte.
    pub(super) const QUERY: &'static [u8] = &[0xff];

    pub(super) fn of(status: &NodeStatus) -> Self {
        Self {
            leader: status.local_replica.host.clone(),
            term: status.term,
            last: status.last_index,
            commit: status.commit_index,
            changing: !status.members_committed,
            voters: VoterProgress::all(status),
        }
    }

    pub(super) fn encode(&self) -> Box<[u8]> {
        // Every field has a JSON form; an empty answer would be refused by `decode`.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
