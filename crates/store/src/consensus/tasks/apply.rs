use masticstair_core::message::{EntryPayload, SnapshotMeta};
use std::rc::Rc;

use super::yield_now::yield_now;
use crate::consensus::log::{entry_bytes, index_after};
use crate::consensus::shared::Shared;
use crate::consensus::snapshot::Snapshot;

/// The size of the entries applied before other tasks get a turn.
const APPLY_BATCH_BYTES: u64 = 64 << 10;

/// Applies committed entries in order, replies to their proposers and compacts the log.
pub(crate) async fn apply(shared: Rc<Shared>) {
    while !shared.is_stopped() {
        let seen = shared.signals.committed.version();
        if !apply_batch(&shared) {
            shared.signals.committed.changed_since(seen).await;
            continue;
        }
        shared.signals.applied.notify();
        compact(&shared);
        yield_now().await;
    }
    shared.pending_proposals.borrow_mut().clear();
}

/// Applies one batch of entries; returns false when there is nothing to apply.
fn apply_batch(shared: &Shared) -> bool {
    let mut state = shared.state.borrow_mut();
    let batch =
        state.log.slice(index_after(state.applied_index), state.commit_index, APPLY_BATCH_BYTES);
    let mut state_machine = shared.state_machine.borrow_mut();
    let mut pending_proposals = shared.pending_proposals.borrow_mut();
    for entry in &batch {
        let reply = match &entry.payload {
            EntryPayload::Command(command) => (state_machine.apply)(entry.index, command),
            EntryPayload::Noop | EntryPayload::Voters(_) => Box::default(),
        };
        state.applied_index = entry.index;
        state.applied_bytes += entry_bytes(entry) as u64;
        pending_proposals.complete(entry.index, entry.term, reply);
    }
    !batch.is_empty()
}

/// Takes a snapshot when the entries applied since the last one exceed `Config::compact_above` and are
/// synced.
fn compact(shared: &Shared) {
    let mut state = shared.state.borrow_mut();
    let is_due = state.applied_bytes > shared.cfg.compact_above.get();
    if !is_due || state.applied_index > state.log.synced_index() || state.unsaved_snapshot.is_some()
    {
        return;
    }
    let Some(term) = state.log.term_at(state.applied_index) else { return };
    let data = (shared.state_machine.borrow().snapshot)();
    let voters = state.log.voters_at(state.applied_index);
    let meta = SnapshotMeta { index: state.applied_index, term, voters, size: data.len() as u64 };
    let snapshot = Rc::new(Snapshot { meta, data });
    state.snapshot = Some(snapshot.clone());
    state.unsaved_snapshot = Some(snapshot);
    state.applied_bytes = 0;
    let base = state.log.compaction_index(state.applied_index, shared.cfg.keep_tail.get());
    state.log.compact(base);
    drop(state);
    shared.signals.state_changed.notify();
}
