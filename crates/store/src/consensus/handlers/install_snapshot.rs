use masticstair_core::message::SnapshotMeta;
use std::rc::Rc;

use crate::consensus::RestoreError;
use crate::consensus::shared::Shared;
use crate::consensus::snapshot::Snapshot;

/// Replaces the replicated state and the log up to the snapshot's index. Later entries are kept when the
/// log's term at that index matches the snapshot.
pub(crate) fn install_snapshot(
    shared: &Shared,
    meta: SnapshotMeta,
    data: Box<[u8]>,
) -> Result<(), RestoreError> {
    if let Err(e) = (shared.state_machine.borrow_mut().restore)(&data) {
        // A partly restored state must neither answer reads nor vote.
        shared.handle_fault(e.clone().into());
        return Err(e);
    }
    let mut state = shared.state.borrow_mut();
    if state.log.term_at(meta.index) == Some(meta.term) {
        state.log.compact(meta.index);
    } else {
        state.log.reset(meta.index, meta.term, meta.voters.clone());
    }
    let index = meta.index;
    let snapshot = Rc::new(Snapshot { meta, data });
    state.snapshot = Some(snapshot.clone());
    state.unsaved_snapshot = Some(snapshot);
    state.commit_index = index;
    state.applied_index = index;
    state.applied_bytes = 0;
    drop(state);
    shared.pending_proposals.borrow_mut().drop_through(index);
    shared.signals.state_changed.notify();
    shared.signals.applied.notify();
    Ok(())
}
