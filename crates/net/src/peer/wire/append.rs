//! Append requests and replies of the replicated log.

use super::log_entry;
use super::text::{check_count, read_replica_id};
use crate::generated::peer_capnp::{append_reply, append_request};
use crate::peer::DecodeError;
use crate::peer::limits::ENTRIES_LIMIT;
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{AppendReply, AppendRequest};

pub(crate) fn write_request(mut out: append_request::Builder<'_>, request: &AppendRequest) {
    out.set_term(request.term.get());
    out.set_leader(request.leader.as_bytes());
    out.set_prev_index(request.prev_index.get());
    out.set_prev_term(request.prev_term.get());
    out.set_commit(request.commit.get());
    out.set_round(request.round);
    let mut entries = out.init_entries(request.entries.len() as u32);
    for (i, entry) in request.entries.iter().enumerate() {
        log_entry::write(entries.reborrow().get(i as u32), entry);
    }
}

pub(crate) fn read_request(
    request: append_request::Reader<'_>,
) -> Result<AppendRequest, DecodeError> {
    let entries = request.get_entries()?;
    check_count("entries", entries.len(), ENTRIES_LIMIT)?;
    Ok(AppendRequest {
        term: Term::new(request.get_term()),
        leader: read_replica_id("leader", request.get_leader())?,
        prev_index: LogIndex::new(request.get_prev_index()),
        prev_term: Term::new(request.get_prev_term()),
        entries: entries.iter().map(log_entry::read).collect::<Result<_, _>>()?,
        commit: LogIndex::new(request.get_commit()),
        round: request.get_round(),
    })
}

pub(crate) fn write_reply(mut out: append_reply::Builder<'_>, reply: AppendReply) {
    out.set_term(reply.term.get());
    out.set_success(reply.success);
    out.set_match_index(reply.match_index.get());
    out.set_round(reply.round);
}

pub(crate) fn read_reply(reply: append_reply::Reader<'_>) -> AppendReply {
    AppendReply {
        term: Term::new(reply.get_term()),
        success: reply.get_success(),
        match_index: LogIndex::new(reply.get_match_index()),
        round: reply.get_round(),
    }
}
