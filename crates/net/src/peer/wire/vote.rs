//! Vote requests and replies.

use super::text::read_replica_id;
use crate::generated::peer_capnp::{vote_reply, vote_request};
use crate::peer::DecodeError;
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{VoteReply, VoteRequest};

pub(crate) fn write_request(mut out: vote_request::Builder<'_>, request: &VoteRequest) {
    out.set_term(request.term.get());
    out.set_candidate(request.candidate.as_bytes());
    out.set_last_index(request.last_index.get());
    out.set_last_term(request.last_term.get());
    out.set_pre_vote(request.pre_vote);
    out.set_transfer(request.transfer);
    out.set_voter(request.voter.as_bytes());
}

pub(crate) fn read_request(request: vote_request::Reader<'_>) -> Result<VoteRequest, DecodeError> {
    Ok(VoteRequest {
        term: Term::new(request.get_term()),
        candidate: read_replica_id("candidate", request.get_candidate())?,
        voter: read_replica_id("voter", request.get_voter())?,
        last_index: LogIndex::new(request.get_last_index()),
        last_term: Term::new(request.get_last_term()),
        pre_vote: request.get_pre_vote(),
        transfer: request.get_transfer(),
    })
}

pub(crate) fn write_reply(mut out: vote_reply::Builder<'_>, reply: VoteReply) {
    out.set_term(reply.term.get());
    out.set_granted(reply.granted);
}

pub(crate) fn read_reply(reply: vote_reply::Reader<'_>) -> VoteReply {
    VoteReply { term: Term::new(reply.get_term()), granted: reply.get_granted() }
}
