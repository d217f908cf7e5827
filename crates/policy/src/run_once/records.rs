use masticstair_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

use super::{CallDigest, RecordState, RunOnceRecord};

/// The records, indexed by digest and by the order in which they expire.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_digest: BTreeMap<CallDigest, RunOnceRecord>,
    /// One pair for each record, with its `created_at`.
    by_time: BTreeSet<(WallTime, CallDigest)>,
    /// The number of records that leave a digest when they expire.
    needing_digest: usize,
    /// The total size of the stored answers in bytes.
    answer_bytes: u64,
}

impl Records {
    pub(super) fn get(&self, digest: CallDigest) -> Option<&RunOnceRecord> {
        self.by_digest.get(&digest)
    }

    pub(super) fn len(&self) -> usize {
        self.by_digest.len()
    }

    pub(super) fn iter(&self) -> impl ExactSizeIterator<Item = (&CallDigest, &RunOnceRecord)> {
        self.by_digest.iter()
    }

    pub(super) const fn needing_digest(&self) -> usize {
        self.needing_digest
    }

    pub(super) const fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Returns the record that expires first, with its time.
    pub(super) fn oldest(&self) -> Option<(WallTime, CallDigest)> {
        self.by_time.first().copied()
    }

    /// Inserts a record in place of any earlier one.
    pub(super) fn insert(&mut self, digest: CallDigest, record: RunOnceRecord) {
        self.remove(digest);
        self.add_to_totals(&record);
        self.by_time.insert((record.created_at, digest));
        self.by_digest.insert(digest, record);
    }

    pub(super) fn remove(&mut self, digest: CallDigest) -> Option<RunOnceRecord> {
        let record = self.by_digest.remove(&digest)?;
        self.by_time.remove(&(record.created_at, digest));
        self.subtract_from_totals(&record);
        Some(record)
    }

    /// Changes the state of a record; does nothing when there is none.
    pub(super) fn set_state(&mut self, digest: CallDigest, state: RecordState) {
        if let Some(mut record) = self.remove(digest) {
            record.state = state;
            self.insert(digest, record);
        }
    }

    fn add_to_totals(&mut self, record: &RunOnceRecord) {
        self.needing_digest += usize::from(record.needs_digest());
        self.answer_bytes += record.answer_len();
    }

    fn subtract_from_totals(&mut self, record: &RunOnceRecord) {
        self.needing_digest -= usize::from(record.needs_digest());
        self.answer_bytes -= record.answer_len();
    }
}

impl FromIterator<(CallDigest, RunOnceRecord)> for Records {
    fn from_iter<I: IntoIterator<Item = (CallDigest, RunOnceRecord)>>(records: I) -> Self {
        let mut indexed = Self::default();
        for (digest, record) in records {
            indexed.insert(digest, record);
        }
        indexed
    }
}
