use super::Position;
use masticstair_core::id::{LogIndex, Term};

/// The terms of the log entries, run-length encoded.
#[derive(Clone, Debug, Default)]
pub(crate) struct TermRuns {
    /// The position before the first entry.
    start: Position,
    /// The first entry of each run.
    runs: Vec<Position>,
    /// Index of the last entry; `start.index` if the log is empty.
    last: LogIndex,
}

impl TermRuns {
    /// Creates the terms of an empty log that continues after a position.
    pub(crate) fn after(start: Position) -> Self {
        Self { start, runs: Vec::new(), last: start.index }
    }

    pub(crate) fn start(&self) -> Position {
        self.start
    }

    /// Returns the position of the last entry, or the start position if the log is empty.
    pub(crate) fn last(&self) -> Position {
        let term = self.runs.last().map_or(self.start.term, |run| run.term);
        Position { index: self.last, term }
    }

    /// Adds an entry, replacing existing entries from its index on.
    pub(crate) fn push(&mut self, entry: Position) {
        while self.runs.pop_if(|run| run.index >= entry.index).is_some() {}
        self.last = entry.index;
        if self.runs.last().is_none_or(|run| run.term != entry.term) {
            self.runs.push(entry);
        }
    }

    /// Returns the term at an index, which may be that of the start position; `None` outside the log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        let run = self.runs.iter().rev().find(|run| run.index <= index)?;
        (index <= self.last).then_some(run.term)
    }

    #[cfg(test)]
    pub(crate) fn count(&self) -> usize {
        self.runs.len()
    }

    /// Drops the entries up to and including a position, which must be covered by a snapshot.
    pub(crate) fn drop_through(&mut self, position: Position) {
        let covered = self.runs.partition_point(|run| run.index.get() <= position.index.get() + 1);
        self.runs.drain(..covered.saturating_sub(1));
        if let Some(run) = self.runs.first_mut().filter(|run| run.index <= position.index) {
            run.index = LogIndex::new(position.index.get() + 1);
        }
        if self.last == position.index {
            self.runs.clear();
        }
        self.start = position;
    }
}
