use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::prelude::*;
use masticstair_store::consensus::{MemberStatus, NodeStatus};
use serde::{Deserialize, Serialize};

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

/// How far a replica is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterProgress {
    /// Its host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The identity of its data folder.
    pub replica: ReplicaId,
    /// Whether it has a vote.
    pub voter: bool,
    /// The last entry that it acknowledged.
    pub matched: Option<LogIndex>,
    /// Milliseconds since its last answer.
    pub silent_ms: Option<Millis>,
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

impl VoterProgress {
    /// Lists the voters that a replica knows; only the leader knows how far the others are.
    pub fn all(status: &NodeStatus) -> Vec<Self> {
        status.members.iter().map(|m| progress(status, m)).collect()
    }
}

/// A replica holds its whole log and is never silent towards itself.
fn progress(status: &NodeStatus, member: &MemberStatus) -> VoterProgress {
    let own = member.replica.id == status.local_replica.id;
    let silent = member.since_last_reply.map(|d| Millis::new(d.as_millis() as u64));
    VoterProgress {
        host: member.replica.host.clone(),
        data_centre: member.replica.data_centre.clone(),
        replica: member.replica.id,
        voter: member.is_voter,
        matched: if own { Some(status.last_index) } else { member.match_index },
        silent_ms: if own { Some(Millis::new(0)) } else { silent },
    }
}
