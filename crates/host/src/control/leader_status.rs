use masticstair_core::id::{LogIndex, Term};
use masticstair_core::prelude::*;
use masticstair_store::consensus::NodeStatus;
use serde::{Deserialize, Serialize};

use super::VoterProgress;

/// The group of voters as its leader sees it. Hosts send it to each other as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// The host of the leader.
    pub leader: HostId,
    /// The term in which it leads.
    pub term: Term,
    /// The index of the last entry in its log, committed or not.
    pub last: LogIndex,
    /// The index of the last entry that a quorum holds.
    pub commit: LogIndex,
    /// Whether a change of the voters or learners is not yet committed.
    pub changing: bool,
    /// The progress of the voters and learners.
    pub voters: Vec<VoterProgress>,
}

impl LeaderStatus {
    /// The request for this status, sent in place of an encoded query, which never begins with this byte.
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
        // Every field has a JSON form, so this doesn't fail; `decode` would refuse an empty answer.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
