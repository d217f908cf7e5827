//! Validation and encoding of the entries and hard states that a call adds to the log.

use super::json::encode_json;
use super::limits::{MAX_APPEND_BYTES, MAX_ENTRY_BYTES};
use super::{Position, Record, RecordKind, StorageError};
use masticstair_core::id::LogIndex;
use masticstair_core::message::{EntryPayload, HardState, LogEntry};
use masticstair_core::unit::ByteCount;

/// Appends encoded log entries to a buffer. On error, the buffer is left unchanged.
pub(crate) fn encode_entries(entries: &[LogEntry], buf: &mut Vec<u8>) -> Result<(), StorageError> {
    let start = buf.len();
    let result = entries.iter().try_for_each(|entry| {
        encode_entry(entry, buf)?;
        check_size("an append", buf.len() - start, MAX_APPEND_BYTES)
    });
    if result.is_err() {
        buf.truncate(start);
    }
    result
}

fn encode_entry(entry: &LogEntry, buf: &mut Vec<u8>) -> Result<(), StorageError> {
    let voters;
    let (kind, body): (_, &[u8]) = match &entry.payload {
        EntryPayload::Noop => (RecordKind::Noop, &[]),
        EntryPayload::Command(command) => (RecordKind::Command, command),
        EntryPayload::Voters(set) => {
            voters = encode_json("a voter set", set)?;
            (RecordKind::Voters, &voters)
        }
    };
    check_size("a log entry", body.len(), MAX_ENTRY_BYTES)?;
    let at = Position { index: entry.index, term: entry.term };
    Record { body, ..Record::position(kind, at) }.encode(buf);
    Ok(())
}

/// Appends an encoded hard state to a buffer.
pub(crate) fn encode_hard_state(state: &HardState, buf: &mut Vec<u8>) {
    let body = state.voted_for.as_ref().map_or(&[] as &[u8], |id| id.as_bytes());
    Record { kind: RecordKind::HardState, index: 0, term: state.term.get(), body }.encode(buf);
}

/// Checks that entries are consecutive, leave no gap after `last`, and replace no entry that the snapshot
/// contains.
pub(crate) fn check_order(
    entries: &[LogEntry],
    mut last: LogIndex,
    snapshot: LogIndex,
) -> Result<(), StorageError> {
    for (nth, entry) in entries.iter().enumerate() {
        let index = entry.index;
        if index <= snapshot {
            return Err(StorageError::InSnapshot { index, snapshot });
        }
        let follows = index.get() == last.get() + 1;
        if !follows && (nth > 0 || index > last) {
            return Err(StorageError::Gap { index, last });
        }
        last = index;
    }
    Ok(())
}

/// Checks that `given` can replace `saved`: the term must not decrease, and a vote must not change within its
/// term.
pub(crate) fn check_hard_state(given: HardState, saved: HardState) -> Result<(), StorageError> {
    let keeps_vote = saved.voted_for.is_none() || given.voted_for == saved.voted_for;
    if given.term > saved.term || (given.term == saved.term && keeps_vote) {
        return Ok(());
    }
    Err(StorageError::HardStateConflict { given: given.term, saved: saved.term })
}

fn check_size(what: &'static str, size: usize, limit: usize) -> Result<(), StorageError> {
    if size <= limit {
        return Ok(());
    }
    let (size, limit) = (ByteCount::new(size as u64), ByteCount::new(limit as u64));
    Err(StorageError::TooLarge { what, size, limit })
}
