use super::{Position, Record, RecordKind, SegmentNumber, SegmentSpan, TermRuns};
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{HardState, LogEntry};
use std::collections::VecDeque;

/// The state that results from applying the records of the log in order.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The valid entries, with consecutive indices.
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) hard_state: HardState,
    /// Position of the snapshot that the log continues from; index 0 if there is none.
    pub(crate) snapshot: Position,
    /// The segments read so far.
    pub(crate) spans: VecDeque<SegmentSpan>,
    /// The terms of the valid entries.
    pub(crate) terms: TermRuns,
}

impl Replay {
    /// Starts a segment; the records applied next belong to it.
    pub(crate) fn begin_segment(&mut self, number: SegmentNumber) {
        self.spans.push_back(SegmentSpan::empty(number));
    }

    /// Applies a record. The error is the reason why the record is invalid at this place.
    pub(crate) fn apply(&mut self, record: Record<'_>) -> Result<(), Box<str>> {
        if let Some(entry) = record.to_entry()? {
            return self.push(entry);
        }
        match record.kind {
            RecordKind::HardState => self.hard_state = record.to_hard_state()?,
            RecordKind::LastEntry => self.set_log_start(record.to_position()),
            RecordKind::Reset => self.reset(record.to_position()),
            RecordKind::SnapshotMark => self.snapshot = record.to_position(),
            kind => return Err(format!("unexpected {kind:?} record in the log").into()),
        }
        Ok(())
    }

    /// Returns whether the log has no entries, hard state or snapshot.
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot == Position::default()
            && self.terms.last() == Position::default()
    }

    fn push(&mut self, entry: LogEntry) -> Result<(), Box<str>> {
        let last = self.terms.last().index.get();
        let index = entry.index.get();
        if index == 0 || index > last + 1 {
            return Err(format!("entry {index} does not follow entry {last}").into());
        }
        self.truncate_from(entry.index);
        self.terms.push(Position { index: entry.index, term: entry.term });
        if let Some(span) = self.spans.back_mut() {
            span.last = entry.index;
        }
        self.entries.push(entry);
        Ok(())
    }

    fn truncate_from(&mut self, from: LogIndex) {
        let keep = self.entries.partition_point(|e| e.index < from);
        self.entries.truncate(keep);
        if from <= self.terms.start().index {
            // Earlier segments have been deleted, so the term of the entry before `from` is unknown.
            let index = LogIndex::new(from.get() - 1);
            self.terms = TermRuns::after(Position { index, term: Term::default() });
        }
    }

    /// Sets the position before the log to the last entry recorded in the first segment. For later segments,
    /// consecutive batch numbers already prove that none is missing.
    fn set_log_start(&mut self, last: Position) {
        if self.spans.len() == 1 {
            self.terms = TermRuns::after(last);
        }
    }

    fn reset(&mut self, at: Position) {
        self.entries.clear();
        self.spans.iter_mut().for_each(|span| span.last = LogIndex::default());
        self.terms = TermRuns::after(at);
        self.snapshot = at;
    }
}
