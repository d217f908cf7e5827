//! The state of a host's data folder before a group is formed.

use super::text::read_replica_id;
use crate::generated::peer_capnp::formation_answer;
use crate::peer::{DecodeError, FormationAnswer};

pub(crate) fn write_answer(mut out: formation_answer::Builder<'_>, answer: FormationAnswer) {
    out.set_new(answer.new);
    out.set_term(answer.term.get());
    if let Some(replica) = answer.replica {
        out.set_replica(replica.as_bytes());
    }
}

pub(crate) fn read_answer(
    answer: formation_answer::Reader<'_>,
) -> Result<FormationAnswer, DecodeError> {
    let replica = answer.get_replica()?;
    Ok(FormationAnswer {
        new: answer.get_new(),
        term: answer.get_term().into(),
        replica: match replica.is_empty() {
            true => None,
            false => Some(read_replica_id("replica", Ok(replica))?),
        },
    })
}
