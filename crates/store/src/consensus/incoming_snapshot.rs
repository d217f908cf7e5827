use masticstair_core::id::Term;
use masticstair_core::message::{SnapshotChunk, SnapshotMeta};

/// The pieces of a snapshot that have arrived so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    term: Term,
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts to collect the snapshot of a piece.
    pub(crate) fn new(chunk: &SnapshotChunk) -> Self {
        Self { term: chunk.term, meta: chunk.meta.clone(), data: Vec::new() }
    }

    /// Tells whether a piece belongs to this snapshot of this leader.
    pub(crate) fn matches(&self, chunk: &SnapshotChunk) -> bool {
        self.term == chunk.term && self.meta == chunk.meta
    }

    /// Adds a piece when it is the next one and returns the offset that is expected next.
    pub(crate) fn add_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let held = self.data.len() as u64;
        if chunk.offset == held && held + chunk.data.len() as u64 <= self.meta.size {
            self.data.extend_from_slice(&chunk.data);
        }
        self.data.len() as u64
    }

    /// Tells whether every byte has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.data.len() as u64 == self.meta.size
    }

    /// Returns the snapshot.
    pub(crate) fn finish(self) -> (SnapshotMeta, Box<[u8]>) {
        (self.meta, self.data.into_boxed_slice())
    }
}
