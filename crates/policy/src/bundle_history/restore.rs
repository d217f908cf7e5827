//! Conversion of a history from and to the parts of a snapshot.

use masticstair_core::bundle::Bundle;
use std::sync::Arc;

use super::check::parse_content;
use super::chunk_table::ChunkTable;
use super::{BundleEntry, BundleHistory, HistoryParts, PartsError, RecordedReply, RevisionEntry};

impl BundleHistory {
    /// Restores a history from a snapshot, with the deployment and the operators of `self`.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency between the parts.
    pub fn with_parts(&self, parts: HistoryParts) -> Result<Self, PartsError> {
        let mut chunks = ChunkTable::default();
        parts.chunks.into_iter().for_each(|text| chunks.add_unused(text));
        for entry in &parts.entries {
            let mut named = entry.chunks.iter().flatten();
            if !named.all(|digest| chunks.count_use(digest)) {
                return Err(PartsError::MissingChunk(entry.digest));
            }
        }
        check_order(&parts.revisions)?;
        let in_force = match parts.revisions.last() {
            None => None,
            Some(last) => Some(Arc::new(parse_in_force(last, &parts.entries, &chunks)?)),
        };
        Ok(Self {
            entries: parts.entries.into(),
            revisions: parts.revisions.into(),
            chunks,
            replies: parts.replies.into_iter().collect(),
            last_parsed: in_force.clone(),
            in_force,
            ..Self::new(self.deployment.clone(), self.operators.clone())
        })
    }

    /// Returns the texts of the chunks that the entries refer to, ordered by their digest.
    pub fn chunks(&self) -> impl ExactSizeIterator<Item = &str> {
        self.chunks.texts()
    }

    /// Returns the recorded replies, oldest first.
    pub fn replies(&self) -> impl Iterator<Item = &RecordedReply> {
        self.replies.iter()
    }
}

fn check_order(revisions: &[RevisionEntry]) -> Result<(), PartsError> {
    let pairs = revisions.iter().zip(revisions.iter().skip(1));
    match pairs.into_iter().find(|(a, b)| a.revision >= b.revision) {
        Some((_, b)) => Err(PartsError::RevisionOrder(b.revision)),
        None => Ok(()),
    }
}

fn parse_in_force(
    last: &RevisionEntry,
    entries: &[BundleEntry],
    chunks: &ChunkTable,
) -> Result<Bundle, PartsError> {
    let digest = last.digest;
    let entry = entries.iter().find(|e| e.digest == digest);
    let content = entry.and_then(|e| e.chunks.as_ref()).and_then(|digests| chunks.join(digests));
    let content = content.ok_or(PartsError::MissingContent(digest))?;
    let unreadable = |detail: String| PartsError::Unreadable { digest, detail: detail.into() };
    let bundle = parse_content(&content).map_err(|e| unreadable(e.to_string()))?;
    if bundle.digest != digest {
        return Err(unreadable(format!("its digest is {}", bundle.digest)));
    }
    Ok(bundle)
}
