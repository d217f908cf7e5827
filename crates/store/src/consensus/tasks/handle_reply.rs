use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::AppendReply;
use std::time::Instant;

use super::peer_reply::PeerReply;
use crate::consensus::log::{index_after, index_before};
use crate::consensus::progress::Progress;
use crate::consensus::progress_mode::ProgressMode;
use crate::consensus::shared::Shared;

/// Records the reply of a peer and advances the commit index.
pub(crate) fn handle_reply(shared: &Shared, peer: ReplicaId, task_id: u64, peer_reply: PeerReply) {
    let mut state = shared.state.borrow_mut();
    let term = state.hard_state.term;
    let leader_state = state.leader_state.as_mut();
    let Some(p) =
        leader_state.and_then(|l| l.progress.get_mut(&peer)).filter(|p| p.task_id == task_id)
    else {
        return;
    };
    let retry_at = Instant::now() + shared.cfg.heartbeat.duration();
    let peer_term = match peer_reply {
        PeerReply::Heartbeat { last, reply } => {
            p.heartbeats_in_flight -= 1;
            reply.ok().map(|reply| record_append_reply(p, term, last, reply, None))
        }
        PeerReply::Append { last, reply } => {
            p.in_flight -= 1;
            match reply {
                Ok(reply) => Some(record_append_reply(p, term, last, reply, Some(retry_at))),
                Err(_) => {
                    p.reset_to_probe(retry_at);
                    None
                }
            }
        }
        PeerReply::Chunk { index, size, offset, reply } => {
            p.in_flight -= 1;
            match reply {
                Ok(reply) if reply.term == term => {
                    record_chunk_reply(p, index, size, offset, reply.next_offset, retry_at);
                    Some(reply.term)
                }
                Ok(reply) => Some(reply.term),
                Err(_) => {
                    p.reset_to_probe(retry_at);
                    None
                }
            }
        }
    };
    drop(state);
    match peer_term {
        Some(peer_term) if peer_term > term => {
            shared.step_down(peer_term, "a peer has a higher term")
        }
        Some(_) => {
            shared.signals.replied.notify();
            shared.advance_commit();
        }
        None => {}
    }
}

/// Records the reply to an append or, without `retry_at`, to a heartbeat; returns the term of the peer.
fn record_append_reply(
    p: &mut Progress,
    term: Term,
    last: LogIndex,
    reply: AppendReply,
    retry_at: Option<Instant>,
) -> Term {
    if reply.term != term {
        return reply.term;
    }
    p.last_reply_at = Instant::now();
    p.acked_round = p.acked_round.max(reply.round);
    if reply.success {
        p.match_index = p.match_index.max(reply.match_index.min(last));
        if retry_at.is_some()
            && let ProgressMode::Probe = p.mode
        {
            // The peer may hold entries that it has not synced yet. Sending them again obtains their
            // acknowledgement.
            p.next_index = index_after(p.match_index);
            p.mode = ProgressMode::Stream;
            p.retry_at = None;
        }
        p.next_index = p.next_index.max(index_after(p.match_index));
        return reply.term;
    }
    if !matches!(p.mode, ProgressMode::Snapshot { .. }) {
        // The match index decreases too: a replica whose disk was restored from an older copy has lost
        // entries.
        let retry_from = reply.match_index.min(last).max(LogIndex::new(1));
        // A rejection without progress is not retried at once.
        p.retry_at = retry_at.filter(|_| retry_from >= p.next_index);
        p.next_index = retry_from;
        p.match_index = p.match_index.min(index_before(p.next_index));
        p.mode = ProgressMode::Probe;
    }
    reply.term
}

/// Records the reply to a snapshot chunk.
fn record_chunk_reply(
    p: &mut Progress,
    index: LogIndex,
    size: u64,
    offset: u64,
    next_offset: u64,
    retry_at: Instant,
) {
    p.last_reply_at = Instant::now();
    let ProgressMode::Snapshot { snapshot, offset: current } = &mut p.mode else { return };
    if snapshot.meta.index != index {
        return;
    }
    if next_offset >= size {
        p.match_index = p.match_index.max(index);
        p.next_index = index_after(p.match_index);
        p.mode = ProgressMode::Probe;
        p.retry_at = None;
        return;
    }
    *current = next_offset;
    // A reply without progress is not retried at once.
    p.retry_at = (next_offset <= offset).then_some(retry_at);
}
