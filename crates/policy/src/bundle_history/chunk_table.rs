#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::ChunkDigest;
use super::split::split;

/// The chunks of all stored contents, each stored once with a reference count.
#[derive(Debug, Default)]
pub(super) struct ChunkTable {
    chunks: BTreeMap<ChunkDigest, Chunk>,
}

#[derive(Debug)]
struct Chunk {
    text: Box<str>,
    /// References from stored contents; the chunk is removed at 0.
    uses: u32,
}

impl ChunkTable {
    /// Splits content into chunks, stores them, and returns their digests in order.
    pub(super) fn insert(&mut self, content: &str) -> Box<[ChunkDigest]> {
        split(content)
            .map(|text| {
                let digest = ChunkDigest::of(text);
                let new = || Chunk { text: text.into(), uses: 0 };
                self.chunks.entry(digest).or_insert_with(new).uses += 1;
                digest
            })
            .collect()
    }

    /// Removes one reference to each of these chunks.
    pub(super) fn remove(&mut self, chunks: &[ChunkDigest]) {
        for digest in chunks {
            let Some(chunk) = self.chunks.get_mut(digest) else { continue };
            chunk.uses = chunk.uses.saturating_sub(1);
            if chunk.uses == 0 {
                self.chunks.remove(digest);
            }
        }
    }

    /// Concatenates chunks; returns `None` when one is missing.
    pub(super) fn join(&self, chunks: &[ChunkDigest]) -> Option<Box<str>> {
        let texts = chunks.iter().map(|d| self.chunks.get(d).map(|chunk| &*chunk.text));
        texts.collect::<Option<String>>().map(Into::into)
    }

    /// Returns the text of every chunk, ordered by digest.
    pub(super) fn texts(&self) -> impl ExactSizeIterator<Item = &str> {
        self.chunks.values().map(|chunk| &*chunk.text)
    }

    /// Adds a chunk of a snapshot without references; `count_use` must follow for each reference.
    pub(super) fn add_unused(&mut self, text: Box<str>) {
        self.chunks.insert(ChunkDigest::of(&text), Chunk { text, uses: 0 });
    }

    /// Adds a reference; returns `false` when the chunk is missing.
    pub(super) fn count_use(&mut self, digest: &ChunkDigest) -> bool {
        let Some(chunk) = self.chunks.get_mut(digest) else { return false };
        chunk.uses = chunk.uses.saturating_add(1);
        true
    }
}
