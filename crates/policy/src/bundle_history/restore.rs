//! The parts of a history for snapshots.

use masticstair_core::bundle::Bundle;
use std::sync::Arc;

use super::check::read_content;
use super::piece_table::PieceTable;
use super::{BundleEntry, BundleHistory, HistoryParts, PartsError, RecordedReply, RevisionEntry};

impl BundleHistory {
    /// Makes a history from the parts of a snapshot, with the settings of this one.
    ///
    /// # Errors
    ///
    /// Returns the first part that does not fit the others.
    pub fn with_parts(&self, parts: HistoryParts) -> Result<Self, PartsError> {
        let mut pieces = PieceTable::default();
        parts.pieces.into_iter().for_each(|text| pieces.add(text));
        for entry in &parts.entries {
            let mut named = entry.pieces.iter().flatten();
            if !named.all(|digest| pieces.count_use(digest)) {
                return Err(PartsError::MissingPiece(entry.digest));
            }
        }
        check_order(&parts.revisions)?;
        let in_force = match parts.revisions.last() {
            None => None,
            Some(last) => Some(Arc::new(read_in_force(last, &parts.entries, &pieces)?)),
        };
        Ok(Self {
            entries: parts.entries.into(),
            revisions: parts.revisions.into(),
            pieces,
            replies: parts.replies.into_iter().collect(),
            last_read: in_force.clone(),
            in_force,
            ..Self::new(self.deployment.clone(), self.operators.clone())
        })
    }

    /// Returns the texts of the pieces that the entries name, ordered by their digest.
    pub fn pieces(&self) -> impl ExactSizeIterator<Item = &str> {
        self.pieces.texts()
    }

    /// Returns the recorded replies, oldest first.
    pub fn replies(&self) -> impl Iterator<Item = &RecordedReply> {
        self.replies.iter()
    }
}

fn check_order(revisions: &[RevisionEntry]) -> Result<(), PartsError> {
    let pairs = revisions.iter().zip(revisions.iter().skip(1));
    match pairs.into_iter().find(|(a, b)| a.revision >= b.revision) {
        Some((_, b)) => Err(PartsError::Revision(b.revision)),
        None => Ok(()),
    }
}

fn read_in_force(
    last: &RevisionEntry,
    entries: &[BundleEntry],
    pieces: &PieceTable,
) -> Result<Bundle, PartsError> {
    let digest = last.digest;
    let entry = entries.iter().find(|e| e.digest == digest);
    let content = entry.and_then(|e| e.pieces.as_ref()).and_then(|p| pieces.join(p));
    let content = content.ok_or(PartsError::MissingContent(digest))?;
    let unreadable = |detail: String| PartsError::Unreadable { digest, detail: detail.into() };
    let bundle = read_content(&content).map_err(|e| unreadable(e.to_string()))?;
    if bundle.digest != digest {
        return Err(unreadable(format!("its digest is {}", bundle.digest)));
    }
    Ok(bundle)
}
