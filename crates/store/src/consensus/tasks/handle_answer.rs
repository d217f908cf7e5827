use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::AppendReply;
use std::time::Instant;

use super::answer::Answer;
use crate::consensus::log::{next, prev};
use crate::consensus::progress::Progress;
use crate::consensus::progress_mode::ProgressMode;
use crate::consensus::shared::Shared;

/// Notes the answer of a peer, and commits what it allows.
pub(crate) fn handle_answer(shared: &Shared, peer: ReplicaId, task: u64, answer: Answer) {
    let mut state = shared.state.borrow_mut();
    let term = state.hard.term;
    let leading = state.leading.as_mut();
    let Some(p) = leading.and_then(|l| l.progress.get_mut(&peer)).filter(|p| p.task == task) else {
        return;
    };
    let retry_at = Instant::now() + shared.cfg.heartbeat.duration();
    let peer_term = match answer {
        Answer::Heartbeat { last, reply } => {
            p.heartbeats -= 1;
            reply.ok().map(|reply| note_append(p, term, last, reply, None))
        }
        Answer::Append { last, reply } => {
            p.in_flight -= 1;
            match reply {
                Ok(reply) => Some(note_append(p, term, last, reply, Some(retry_at))),
                Err(_) => {
                    p.fall_back(retry_at);
                    None
                }
            }
        }
        Answer::Chunk { index, size, offset, reply } => {
            p.in_flight -= 1;
            match reply {
                Ok(reply) if reply.term == term => {
                    note_chunk(p, index, size, offset, reply.next_offset, retry_at);
                    Some(reply.term)
                }
                Ok(reply) => Some(reply.term),
                Err(_) => {
                    p.fall_back(retry_at);
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
            shared.signals.answered.notify();
            shared.advance_commit();
        }
        None => {}
    }
}

/// Notes the answer to an append or, without a time for the next attempt, to a heartbeat; returns the
/// term of the peer.
fn note_append(
    p: &mut Progress,
    term: Term,
    last: LogIndex,
    reply: AppendReply,
    retry_at: Option<Instant>,
) -> Term {
    if reply.term != term {
        return reply.term;
    }
    p.last_answer = Instant::now();
    p.acked_round = p.acked_round.max(reply.round);
    if reply.success {
        p.matched = p.matched.max(reply.match_index.min(last));
        if retry_at.is_some()
            && let ProgressMode::Probe = p.mode
        {
            // The peer may hold more than it has synced; sending that again brings its acknowledgement.
            p.next = next(p.matched);
            p.mode = ProgressMode::Stream;
            p.retry_at = None;
        }
        p.next = p.next.max(next(p.matched));
        return reply.term;
    }
    if !matches!(p.mode, ProgressMode::Snapshot { .. }) {
        // The match falls too: a replica whose disk was restored from an older copy has lost entries.
        let retry_from = reply.match_index.min(last).max(LogIndex::new(1));
        // A refusal without progress is not retried at once.
        p.retry_at = retry_at.filter(|_| retry_from >= p.next);
        p.next = retry_from;
        p.matched = p.matched.min(prev(p.next));
        p.mode = ProgressMode::Probe;
    }
    reply.term
}

/// Notes the answer to a piece of a snapshot.
fn note_chunk(
    p: &mut Progress,
    index: LogIndex,
    size: u64,
    offset: u64,
    next_offset: u64,
    retry_at: Instant,
) {
    p.last_answer = Instant::now();
    let ProgressMode::Snapshot { snapshot, offset: current } = &mut p.mode else { return };
    if snapshot.meta.index != index {
        return;
    }
    if next_offset >= size {
        p.matched = p.matched.max(index);
        p.next = next(p.matched);
        p.mode = ProgressMode::Probe;
        p.retry_at = None;
        return;
    }
    *current = next_offset;
    // An answer without progress is not retried at once.
    p.retry_at = (next_offset <= offset).then_some(retry_at);
}
