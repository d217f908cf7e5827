use masticstair_core::message::{EntryPayload, SnapshotMeta};
use std::rc::Rc;

use super::yield_now::yield_now;
use crate::consensus::log::{next, size_of};
use crate::consensus::shared::Shared;
use crate::consensus::snapshot::Snapshot;

/// The size of the entries applied before other tasks get a turn.
const BATCH: u64 = 64 << 10;

/// Applies committed entries in order, answers their proposers and compacts the log.
pub(crate) async fn apply(shared: Rc<Shared>) {
    while !shared.is_stopped() {
        let seen = shared.signals.committed.version();
        if !apply_batch(&shared) {
            shared.signals.committed.after(seen).await;
            continue;
        }
        shared.signals.applied.notify();
        compact(&shared);
        yield_now().await;
    }
    shared.pending.borrow_mut().clear();
}

/// Applies some entries; returns false when there is nothing to apply.
fn apply_batch(shared: &Shared) -> bool {
    let mut state = shared.state.borrow_mut();
    let batch = state.log.slice(next(state.applied), state.commit, BATCH);
    let mut machine = shared.machine.borrow_mut();
    let mut pending = shared.pending.borrow_mut();
    for entry in &batch {
        let reply = match &entry.payload {
            EntryPayload::Command(command) => (machine.apply)(entry.index, command),
            EntryPayload::Noop | EntryPayload::Voters(_) => Box::default(),
        };
        state.applied = entry.index;
        state.applied_size += size_of(entry) as u64;
        pending.complete(entry.index, entry.term, reply);
    }
    !batch.is_empty()
}

/// Takes a snapshot when the applied log is large and synced.
fn compact(shared: &Shared) {
    let mut state = shared.state.borrow_mut();
    let is_due = state.applied_size > shared.cfg.compact_above.get();
    if !is_due || state.applied > state.log.synced() || state.unsaved_snapshot.is_some() {
        return;
    }
    let Some(term) = state.log.term_at(state.applied) else { return };
    let data = (shared.machine.borrow().snapshot)();
    let voters = state.log.voters_at(state.applied);
    let meta = SnapshotMeta { index: state.applied, term, voters, size: data.len() as u64 };
    let snapshot = Rc::new(Snapshot { meta, data });
    state.snapshot = Some(snapshot.clone());
    state.unsaved_snapshot = Some(snapshot);
    state.applied_size = 0;
    let base = state.log.index_keeping(state.applied, shared.cfg.keep_tail.get());
    state.log.compact(base);
    drop(state);
    shared.signals.changed.notify();
}
