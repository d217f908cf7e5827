#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::PieceDigest;
use super::split::split;

/// The pieces of all kept contents, each stored once.
#[derive(Debug, Default)]
pub(super) struct PieceTable {
    pieces: BTreeMap<PieceDigest, Piece>,
}

#[derive(Debug)]
struct Piece {
    text: Box<str>,
    /// How often the kept contents name the piece; it is dropped at 0.
    uses: u32,
}

impl PieceTable {
    /// Stores a content and returns its pieces in order.
    pub(super) fn insert(&mut self, content: &str) -> Box<[PieceDigest]> {
        split(content)
            .map(|text| {
                let digest = PieceDigest::of(text);
                let new = || Piece { text: text.into(), uses: 0 };
                self.pieces.entry(digest).or_insert_with(new).uses += 1;
                digest
            })
            .collect()
    }

    pub(super) fn remove(&mut self, pieces: &[PieceDigest]) {
        for digest in pieces {
            let Some(piece) = self.pieces.get_mut(digest) else { continue };
            piece.uses = piece.uses.saturating_sub(1);
            if piece.uses == 0 {
                self.pieces.remove(digest);
            }
        }
    }

    /// Joins pieces; `None` when one is missing.
    pub(super) fn join(&self, pieces: &[PieceDigest]) -> Option<Box<str>> {
        let texts = pieces.iter().map(|d| self.pieces.get(d).map(|p| &*p.text));
        texts.collect::<Option<String>>().map(Into::into)
    }

    /// Returns the text of every piece, ordered by digest.
    pub(super) fn texts(&self) -> impl ExactSizeIterator<Item = &str> {
        self.pieces.values().map(|p| &*p.text)
    }

    /// Adds a piece of a snapshot, before `count_use` is called for each content that names it.
    pub(super) fn add(&mut self, text: Box<str>) {
        self.pieces.insert(PieceDigest::of(&text), Piece { text, uses: 0 });
    }

    /// Counts one more use; returns `false` when the piece is missing.
    pub(super) fn count_use(&mut self, digest: &PieceDigest) -> bool {
        let Some(piece) = self.pieces.get_mut(digest) else { return false };
        piece.uses = piece.uses.saturating_add(1);
        true
    }
}
