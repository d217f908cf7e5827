use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::prelude::*;
use masticstair_store::consensus::{MemberStatus, NodeStatus};
use serde::{Deserialize, Serialize};

/// The replication progress of one replica, a voter or a learner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterProgress {
    /// The host of the replica.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The identity of its data folder; a host that starts with a new folder is another replica.
    pub replica: ReplicaId,
    /// Whether it is a voter; a learner has no vote and only receives the log.
    pub voter: bool,
    /// The index of the last entry that it acknowledged; `None` if the answering replica doesn't know.
    pub matched: Option<LogIndex>,
    /// Milliseconds since its last reply; 0 for the answering replica itself, `None` if unknown.
    pub silent_ms: Option<Millis>,
}

impl VoterProgress {
    /// Lists the voters and learners that a replica knows. Only a leader knows the progress of the others.
    pub fn all(status: &NodeStatus) -> Vec<Self> {
        status.members.iter().map(|m| progress(status, m)).collect()
    }
}

/// Returns the progress of a member. The local replica has matched its whole log and always counts as
/// answering.
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
