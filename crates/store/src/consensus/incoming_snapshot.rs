use masticstair_core::id::Term;
use masticstair_core::message::{SnapshotChunk, SnapshotMeta};

/// The chunks of a snapshot received so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    term: Term,
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts collecting the snapshot that `chunk` belongs to.
    pub(crate) fn new(chunk: &SnapshotChunk) -> Self {
        Self { term: chunk.term, meta: chunk.meta.clone(), data: Vec::new() }
    }

    /// Returns whether a chunk belongs to this snapshot and to the same leader's term.
    pub(crate) fn matches(&self, chunk: &SnapshotChunk) -> bool {
        self.term == chunk.term && self.meta == chunk.meta
    }

    /// Appends the chunk if it starts at the expected offset; returns the next expected offset.
    pub(crate) fn add_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let held = self.data.len() as u64;
        if chunk.offset == held && held + chunk.data.len() as u64 <= self.meta.size {
            self.data.extend_from_slice(&chunk.data);
        }
        self.data.len() as u64
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.data.len() as u64 == self.meta.size
    }

    pub(crate) fn finish(self) -> (SnapshotMeta, Box<[u8]>) {
        (self.meta, self.data.into_boxed_slice())
    }
}
