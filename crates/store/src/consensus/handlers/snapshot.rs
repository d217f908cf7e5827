use masticstair_core::id::LogIndex;
use masticstair_core::message::{SnapshotChunk, SnapshotReply};
use masticstair_core::unit::ByteCount;

use super::follow_leader::follow_leader;
use super::install_snapshot::install_snapshot;
use crate::consensus::RequestError;
use crate::consensus::incoming_snapshot::IncomingSnapshot;
use crate::consensus::shared::Shared;

/// The largest snapshot chunk accepted.
const MAX_CHUNK: ByteCount = ByteCount::new(64 << 10);

/// Handles a snapshot chunk. The reply to the last chunk is sent after the whole snapshot is synced.
pub(crate) async fn snapshot(
    shared: &Shared,
    chunk: SnapshotChunk,
) -> Result<SnapshotReply, RequestError> {
    shared.check_serving()?;
    check_size(ByteCount::new(chunk.data.len() as u64), MAX_CHUNK)?;
    check_size(ByteCount::new(chunk.meta.size), shared.cfg.max_snapshot)?;
    let (term, index, size) = (chunk.term, chunk.meta.index, chunk.meta.size);
    if let Err(current) = follow_leader(shared, term, chunk.leader) {
        return Ok(SnapshotReply { term: current, next_offset: 0 });
    }
    let (next_offset, version) = {
        let mut state = shared.state.borrow_mut();
        let held = index <= state.commit_index;
        let next_offset =
            if held { size } else { collect_chunk(&mut state.incoming_snapshot, &chunk) };
        (next_offset, state.hard_state_version)
    };
    shared.signals.state_changed.notify();
    install_when_complete(shared, index)?;
    shared.wait_hard_state_durable(version).await?;
    // `next_offset == size` acknowledges the whole snapshot, also when this chunk is not the last one.
    let is_durable = next_offset < size || shared.wait_log_durable(index, term).await?;
    let term = shared.state.borrow().hard_state.term;
    Ok(SnapshotReply { term, next_offset: if is_durable { next_offset } else { 0 } })
}

/// Adds a chunk to its snapshot and returns the next expected offset.
fn collect_chunk(incoming_snapshot: &mut Option<IncomingSnapshot>, chunk: &SnapshotChunk) -> u64 {
    let current = incoming_snapshot.take().filter(|i| i.matches(chunk));
    incoming_snapshot
        .insert(current.unwrap_or_else(|| IncomingSnapshot::new(chunk)))
        .add_chunk(chunk)
}

fn install_when_complete(shared: &Shared, index: LogIndex) -> Result<(), RequestError> {
    let incoming_snapshot = {
        let mut state = shared.state.borrow_mut();
        if index <= state.commit_index
            || !state.incoming_snapshot.as_ref().is_some_and(|i| i.is_complete())
        {
            return Ok(());
        }
        state.incoming_snapshot.take()
    };
    let Some(incoming_snapshot) = incoming_snapshot else { return Ok(()) };
    let (meta, data) = incoming_snapshot.finish();
    Ok(install_snapshot(shared, meta, data)?)
}

fn check_size(size: ByteCount, limit: ByteCount) -> Result<(), RequestError> {
    if size > limit {
        return Err(RequestError::TooLarge { size, limit });
    }
    Ok(())
}
