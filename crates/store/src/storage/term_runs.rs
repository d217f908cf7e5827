use super::Position;
use masticstair_core::id::{LogIndex, Term};

/// The terms of the log entries, kept as one item for each run of equal terms.
#[derive(Clone, Debug, Default)]
pub(crate) struct TermRuns {
    /// The entry before the first one that is covered.
    start: Position,
    /// The first entry of each run.
    runs: Vec<Position>,
    /// The last entry; equals `start.index` when the log is empty.
    last: LogIndex,
}

impl TermRuns {
    /// Makes an empty log that continues after a position.
    pub(crate) fn after(start: Position) -> Self {
        Self { start, runs: Vec::new(), last: start.index }
    }

    /// Returns the position before the first entry.
    pub(crate) fn start(&self) -> Position {
        self.start
    }

    /// Returns the last entry, or the start when there is none.
    pub(crate) fn last(&self) -> Position {
        let term = self.runs.last().map_or(self.start.term, |run| run.term);
        Position { index: self.last, term }
    }

    /// Adds an entry, which replaces the entries from its index on.
    pub(crate) fn push(&mut self, entry: Position) {
        while self.runs.pop_if(|run| run.index >= entry.index).is_some() {}
        self.last = entry.index;
        if self.runs.last().is_none_or(|run| run.term != entry.term) {
            self.runs.push(entry);
        }
    }

    /// Returns the term of an entry.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        let run = self.runs.iter().rev().find(|run| run.index <= index)?;
        (index <= self.last).then_some(run.term)
    }

    /// Returns how many runs are held.
    #[cfg(test)]
    pub(crate) fn count(&self) -> usize {
        self.runs.len()
    }

    /// Forgets the entries up to a position, which must be covered.
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
