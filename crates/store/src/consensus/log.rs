use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{EntryPayload, LogEntry, VoterSet};
use std::collections::VecDeque;

use super::recovered_state::RecoveredState;
use super::unwritten_entries::UnwrittenEntries;

/// The size counted for each entry in addition to its payload.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// The log in memory: the index and term of the last compacted entry (the base), and the entries after
/// it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
    /// The voter sets with the index of their entry; the first one applies at the base.
    voters: Vec<(LogIndex, VoterSet)>,
    /// The voters before the first voter set.
    empty_voters: VoterSet,
    /// The first entry not yet handed to storage.
    first_unwritten: Option<LogIndex>,
    /// Every entry up to this one is synced.
    synced_index: LogIndex,
    /// Incremented when a snapshot replaces the whole log, so that the completion of an earlier write is
    /// ignored.
    epoch: u64,
}

pub(crate) fn index_after(index: LogIndex) -> LogIndex {
    LogIndex::new(index.get() + 1)
}

/// Returns the index before `index`, or 0 for index 0.
pub(crate) fn index_before(index: LogIndex) -> LogIndex {
    LogIndex::new(index.get().saturating_sub(1))
}

/// Returns the size of an entry as counted by the size limits.
pub(crate) fn entry_bytes(entry: &LogEntry) -> usize {
    ENTRY_OVERHEAD_BYTES
        + match &entry.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Command(data) => data.len(),
            EntryPayload::Voters(set) => set.all().count() * 128,
        }
}

impl Log {
    /// Builds the log from the state recovered from storage. Entries after a snapshot that have a lower
    /// term than the snapshot were truncated by it and are dropped.
    pub(crate) fn recover(recovered: RecoveredState) -> Self {
        let mut log = Self::default();
        if let Some((meta, _)) = recovered.snapshot {
            log.reset(meta.index, meta.term, meta.voters);
        }
        for entry in recovered.entries {
            if entry.index <= log.last_index() {
                continue;
            }
            if entry.index != index_after(log.last_index()) || entry.term < log.last_term() {
                break;
            }
            log.push(entry);
        }
        log.first_unwritten = None;
        log.synced_index = log.last_index();
        log
    }

    /// Returns the index before the first entry in memory.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the index of the last entry, or 0 for an empty log.
    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex::new(self.base_index.get() + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the last index up to which every entry is synced.
    pub(crate) fn synced_index(&self) -> LogIndex {
        self.synced_index
    }

    /// Returns the term of an entry, or `None` if it is not in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Returns an entry, or `None` if it is not in memory.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let at = index.get().checked_sub(self.base_index.get() + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Copies entries from `from` to `to` while their total size is at most `limit`; at least one entry.
    pub(crate) fn slice(&self, from: LogIndex, to: LogIndex, limit: u64) -> Vec<LogEntry> {
        let mut size = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.entry(index).filter(|e| e.index <= to) {
            size += entry_bytes(entry) as u64;
            if size > limit && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index = index_after(index);
        }
        slice
    }

    /// Returns the total size of the entries from `from` to `to`, both included.
    pub(crate) fn bytes_between(&self, from: LogIndex, to: LogIndex) -> u64 {
        let skip = from.get().saturating_sub(self.base_index.get() + 1) as usize;
        let range = self.entries.iter().skip(skip).take_while(|e| e.index <= to);
        range.map(|e| entry_bytes(e) as u64).sum()
    }

    /// Returns the index up to which entries can be dropped, so that at most `keep` bytes of the entries
    /// up to `index` remain.
    pub(crate) fn compaction_index(&self, index: LogIndex, keep: u64) -> LogIndex {
        let mut kept = 0;
        let mut at = index;
        while let Some(entry) = self.entry(at) {
            kept += entry_bytes(entry) as u64;
            if kept > keep {
                break;
            }
            at = index_before(at);
        }
        at
    }

    /// Returns the voters in force: the last voter set in the log, committed or not.
    pub(crate) fn voters(&self) -> &VoterSet {
        self.voters.last().map_or(&self.empty_voters, |(_, set)| set)
    }

    /// Returns the index of the entry with the voters in force, or 0 if there is none.
    pub(crate) fn voters_index(&self) -> LogIndex {
        self.voters.last().map_or(LogIndex::default(), |(index, _)| *index)
    }

    /// Returns the voters in force at an entry.
    pub(crate) fn voters_at(&self, index: LogIndex) -> VoterSet {
        let found = self.voters.iter().rev().find(|(i, _)| *i <= index);
        found.map(|(_, set)| set.clone()).unwrap_or_default()
    }

    /// Appends an entry; its index must follow the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, index_after(self.last_index()));
        if let EntryPayload::Voters(set) = &entry.payload {
            self.voters.push((entry.index, (**set).clone()));
        }
        self.first_unwritten =
            Some(self.first_unwritten.map_or(entry.index, |f| f.min(entry.index)));
        self.entries.push_back(entry);
    }

    /// Drops every entry from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let keep = from.get().saturating_sub(self.base_index.get() + 1) as usize;
        self.entries.truncate(keep);
        self.voters.retain(|(index, _)| *index < from || *index <= self.base_index);
        self.synced_index = self.synced_index.min(index_before(from));
        self.first_unwritten = self.first_unwritten.filter(|f| *f < from);
    }

    /// Drops the entries up to `to` from memory; `to` becomes the base.
    pub(crate) fn compact(&mut self, to: LogIndex) {
        let Some(term) = self.term_at(to) else { return };
        let drop = (to.get() - self.base_index.get()) as usize;
        let voters = self.voters.iter().rposition(|(index, _)| *index <= to);
        self.voters.drain(..voters.unwrap_or(0));
        self.entries.drain(..drop);
        (self.base_index, self.base_term) = (to, term);
        self.first_unwritten = self
            .first_unwritten
            .map(|f| f.max(index_after(to)))
            .filter(|f| *f <= self.last_index());
    }

    /// Replaces the whole log by a snapshot that is not synced yet.
    pub(crate) fn reset(&mut self, index: LogIndex, term: Term, voters: VoterSet) {
        let epoch = self.epoch + 1;
        *self = Self { base_index: index, base_term: term, epoch, ..Self::default() };
        self.voters.push((index, voters));
    }

    /// Takes the entries not yet handed to storage.
    pub(crate) fn take_unwritten(&mut self) -> UnwrittenEntries {
        let entries = match self.first_unwritten.take() {
            Some(from) => self.slice(from, self.last_index(), u64::MAX),
            None => Vec::new(),
        };
        UnwrittenEntries { epoch: self.epoch, last_index: self.last_index(), entries }
    }

    /// Records that the entries up to `last`, returned by `take_unwritten`, are synced. Ignored if the
    /// log was replaced since.
    pub(crate) fn record_synced(&mut self, epoch: u64, last: LogIndex) {
        if epoch == self.epoch {
            self.synced_index = self.first_unwritten.map_or(last, |f| last.min(index_before(f)));
        }
    }

    /// Records that a snapshot up to `index` is synced.
    pub(crate) fn record_snapshot_synced(&mut self, index: LogIndex) {
        self.synced_index = self.synced_index.max(index);
    }
}
