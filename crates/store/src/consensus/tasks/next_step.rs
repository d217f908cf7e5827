use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{AppendRequest, SnapshotChunk};
use std::rc::Rc;
use std::time::Instant;

use super::replication_step::ReplicationStep;
use crate::consensus::Config;
use crate::consensus::leader_state::LeaderState;
use crate::consensus::log::{Log, index_before};
use crate::consensus::progress::Progress;
use crate::consensus::progress_mode::ProgressMode;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::snapshot::Snapshot;

/// The largest snapshot chunk sent; must not exceed the largest one accepted, `MAX_CHUNK` in
/// `handlers::snapshot`.
pub(crate) const MAX_CHUNK_BYTES: usize = 64 << 10;

/// While this many heartbeats to a peer are in flight, a new read sends no further one; periodic heartbeats
/// are sent regardless.
const MAX_HEARTBEATS_IN_FLIGHT: u32 = 2;

/// Decides what to send to a peer now, and records it as sent.
pub(crate) fn next_step(
    state: &mut ReplicaState,
    cfg: &Config,
    local_id: ReplicaId,
    peer: ReplicaId,
    task_id: u64,
) -> ReplicationStep {
    let (now, term, commit) = (Instant::now(), state.hard_state.term, state.commit_index);
    let ReplicaState { leader_state, log, snapshot, stopped, .. } = state;
    let Some(leader_state) = leader_state.as_mut().filter(|_| !*stopped) else {
        return ReplicationStep::End;
    };
    let LeaderState { progress, round, .. } = leader_state;
    let Some(p) = progress.get_mut(&peer).filter(|p| p.task_id == task_id) else {
        return ReplicationStep::End;
    };
    let header = |prev_index, prev_term| AppendRequest {
        term,
        leader: local_id,
        prev_index,
        prev_term,
        entries: Vec::new(),
        commit,
        round: *round,
    };
    let is_backing_off = p.retry_at.is_some_and(|at| at > now);
    if !is_backing_off
        && let Some(step) = next_data_step(p, cfg, log, snapshot.as_ref(), local_id, term, header)
    {
        p.in_flight += 1;
        record_sent(p, now, *round);
        return step;
    }
    let wait = p.last_sent.map_or_else(Default::default, |at| {
        (at + cfg.heartbeat.duration()).saturating_duration_since(now)
    });
    if wait.is_zero()
        || (*round > p.sent_round && p.heartbeats_in_flight < MAX_HEARTBEATS_IN_FLIGHT)
    {
        p.heartbeats_in_flight += 1;
        record_sent(p, now, *round);
        // A heartbeat refers to an entry known to match, so that it stays valid while appends are in
        // flight.
        let known = log.term_at(p.match_index).map(|t| (p.match_index, t)).unwrap_or_default();
        return ReplicationStep::Heartbeat(header(known.0, known.1));
    }
    ReplicationStep::Wait(wait)
}

fn record_sent(p: &mut Progress, now: Instant, round: u64) {
    p.last_sent = Some(now);
    p.sent_round = round;
}

/// Returns entries, a probe or a snapshot chunk if one may be sent now.
fn next_data_step(
    p: &mut Progress,
    cfg: &Config,
    log: &Log,
    snapshot: Option<&Rc<Snapshot>>,
    local_id: ReplicaId,
    term: Term,
    header: impl Fn(LogIndex, Term) -> AppendRequest,
) -> Option<ReplicationStep> {
    let limit = match p.mode {
        ProgressMode::Probe | ProgressMode::Snapshot { .. } => 1,
        ProgressMode::Stream => cfg.max_in_flight_appends.get(),
    };
    if p.in_flight >= limit {
        return None;
    }
    if let ProgressMode::Snapshot { snapshot, offset } = &p.mode {
        return Some(ReplicationStep::Chunk(Box::new(chunk(snapshot, *offset, local_id, term))));
    }
    let before = index_before(p.next_index);
    let Some(prev_term) = log.term_at(before) else {
        let snapshot = snapshot?.clone();
        let first = chunk(&snapshot, 0, local_id, term);
        p.mode = ProgressMode::Snapshot { snapshot, offset: 0 };
        return Some(ReplicationStep::Chunk(Box::new(first)));
    };
    let entries = log.slice(p.next_index, log.last_index(), cfg.max_append_batch.get());
    if let ProgressMode::Stream = p.mode {
        p.next_index = LogIndex::new(entries.last()?.index.get() + 1);
    }
    Some(ReplicationStep::Append(AppendRequest { entries, ..header(before, prev_term) }))
}

fn chunk(snapshot: &Snapshot, offset: u64, local_id: ReplicaId, term: Term) -> SnapshotChunk {
    let from = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.data.len());
    let to = from.saturating_add(MAX_CHUNK_BYTES).min(snapshot.data.len());
    SnapshotChunk {
        term,
        leader: local_id,
        meta: snapshot.meta.clone(),
        offset: from as u64,
        data: snapshot.data[from..to].into(),
        last: to == snapshot.data.len(),
    }
}
