use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::prelude::*;
use masticstair_store::consensus::{MemberStatus, NodeStatus};
use serde::{Deserialize, Serialize};

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

impl VoterProgress {
    /// Lists the voters that a replica knows; only the leader knows how far the others are.
    pub fn all(status: &NodeStatus) -> Vec<Self> {
        status.members.iter().map(|m| progress(status, m)).collect()
    }
}

/// A replica holds its whole log and is never silent towards itself.
fn progress(status: &NodeStatus, member: &MemberStatus) -> VoterProgress {
    let is_local = member.replica.id == status.local_replica.id;
    let since_last_reply_ms = member.since_last_reply.map(|d| Millis::new(d.as_millis() as u64));
    VoterProgress {
        host: member.replica.host.clone(),
        data_centre: member.replica.data_centre.clone(),
        replica: member.replica.id,
        voter: member.is_voter,
        matched: if is_local { Some(status.last_index) } else { member.match_index },
        silent_ms: if is_local { Some(Millis::new(0)) } else { since_last_reply_ms },
    }
}
