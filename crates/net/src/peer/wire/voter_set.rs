//! The replicas of the log: voters and learners.

use super::text::{check_count, read_name, read_replica_id};
use crate::generated::peer_capnp::{replica, voter_set};
use crate::peer::DecodeError;
use masticstair_core::message::{Replica, VoterSet};

/// Maximum number of replicas in either list. There are at most 7 voters, and more learners than this have
/// no use.
const REPLICA_LIMIT: u32 = 16;

pub(crate) fn write(mut out: voter_set::Builder<'_>, set: &VoterSet) {
    let mut voters = out.reborrow().init_voters(set.voters.len() as u32);
    for (i, replica) in set.voters.iter().enumerate() {
        write_replica(voters.reborrow().get(i as u32), replica);
    }
    let mut learners = out.init_learners(set.learners.len() as u32);
    for (i, replica) in set.learners.iter().enumerate() {
        write_replica(learners.reborrow().get(i as u32), replica);
    }
}

pub(crate) fn read(set: voter_set::Reader<'_>) -> Result<VoterSet, DecodeError> {
    let voters = set.get_voters()?;
    let learners = set.get_learners()?;
    check_count("voters", voters.len(), REPLICA_LIMIT)?;
    check_count("learners", learners.len(), REPLICA_LIMIT)?;
    Ok(VoterSet {
        voters: voters.iter().map(read_replica).collect::<Result<_, _>>()?,
        learners: learners.iter().map(read_replica).collect::<Result<_, _>>()?,
    })
}

fn write_replica(mut out: replica::Builder<'_>, replica: &Replica) {
    out.set_id(replica.id.as_bytes());
    out.set_host(replica.host.as_str());
    out.set_data_centre(replica.data_centre.as_str());
}

fn read_replica(replica: replica::Reader<'_>) -> Result<Replica, DecodeError> {
    Ok(Replica {
        id: read_replica_id("replica id", replica.get_id())?,
        host: read_name("replica host", replica.get_host())?,
        data_centre: read_name("replica data centre", replica.get_data_centre())?,
    })
}
