use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{AppendRequest, SnapshotChunk};
use std::rc::Rc;
use std::time::Instant;

use super::outgoing::Outgoing;
use crate::consensus::Config;
use crate::consensus::leading::Leading;
use crate::consensus::log::{Log, prev};
use crate::consensus::progress::Progress;
use crate::consensus::progress_mode::ProgressMode;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::snapshot::Snapshot;

/// The largest piece of a snapshot.
pub(crate) const MAX_CHUNK: usize = 64 << 10;

/// Heartbeats in flight to a peer above which a new read does not start another one at once; the timer
/// still does.
const ROUNDS_IN_FLIGHT: u32 = 2;

/// Decides what to send to a peer now, and notes it as sent.
pub(crate) fn next_message(
    state: &mut ReplicaState,
    cfg: &Config,
    me: ReplicaId,
    peer: ReplicaId,
    task: u64,
) -> Outgoing {
    let (now, term, commit) = (Instant::now(), state.hard.term, state.commit);
    let ReplicaState { leading, log, snapshot, stopped, .. } = state;
    let Some(leading) = leading.as_mut().filter(|_| !*stopped) else { return Outgoing::End };
    let Leading { progress, round, .. } = leading;
    let Some(p) = progress.get_mut(&peer).filter(|p| p.task == task) else { return Outgoing::End };
    let header = |prev_index, prev_term| AppendRequest {
        term,
        leader: me,
        prev_index,
        prev_term,
        entries: Vec::new(),
        commit,
        round: *round,
    };
    let is_held_back = p.retry_at.is_some_and(|at| at > now);
    if !is_held_back && let Some(message) = data(p, cfg, log, snapshot.as_ref(), me, term, header) {
        p.in_flight += 1;
        note_sent(p, now, *round);
        return message;
    }
    let wait = p.last_sent.map_or_else(Default::default, |at| {
        (at + cfg.heartbeat.duration()).saturating_duration_since(now)
    });
    if wait.is_zero() || (*round > p.sent_round && p.heartbeats < ROUNDS_IN_FLIGHT) {
        p.heartbeats += 1;
        note_sent(p, now, *round);
        // An entry that is known to match keeps the heartbeat valid while appends are in flight.
        let known = log.term_at(p.matched).map(|t| (p.matched, t)).unwrap_or_default();
        return Outgoing::Heartbeat(header(known.0, known.1));
    }
    Outgoing::Wait(wait)
}

fn note_sent(p: &mut Progress, now: Instant, round: u64) {
    p.last_sent = Some(now);
    p.sent_round = round;
}

/// Returns entries, a probe or a piece of a snapshot when one may be sent.
fn data(
    p: &mut Progress,
    cfg: &Config,
    log: &Log,
    snapshot: Option<&Rc<Snapshot>>,
    me: ReplicaId,
    term: Term,
    header: impl Fn(LogIndex, Term) -> AppendRequest,
) -> Option<Outgoing> {
    let limit = match p.mode {
        ProgressMode::Probe | ProgressMode::Snapshot { .. } => 1,
        ProgressMode::Stream => cfg.window.get(),
    };
    if p.in_flight >= limit {
        return None;
    }
    if let ProgressMode::Snapshot { snapshot, offset } = &p.mode {
        return Some(Outgoing::Chunk(Box::new(chunk(snapshot, *offset, me, term))));
    }
    let before = prev(p.next);
    let Some(prev_term) = log.term_at(before) else {
        let snapshot = snapshot?.clone();
        let first = chunk(&snapshot, 0, me, term);
        p.mode = ProgressMode::Snapshot { snapshot, offset: 0 };
        return Some(Outgoing::Chunk(Box::new(first)));
    };
    let entries = log.slice(p.next, log.last_index(), cfg.batch.get());
    if let ProgressMode::Stream = p.mode {
        p.next = LogIndex::new(entries.last()?.index.get() + 1);
    }
    Some(Outgoing::Append(AppendRequest { entries, ..header(before, prev_term) }))
}

fn chunk(snapshot: &Snapshot, offset: u64, me: ReplicaId, term: Term) -> SnapshotChunk {
    let from = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.data.len());
    let to = from.saturating_add(MAX_CHUNK).min(snapshot.data.len());
    SnapshotChunk {
        term,
        leader: me,
        meta: snapshot.meta.clone(),
        offset: from as u64,
        data: snapshot.data[from..to].into(),
        last: to == snapshot.data.len(),
    }
}
