/// The kind of a record. The discriminants are part of the file format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordKind {
    /// A log entry without a payload.
    Noop = 1,
    /// A log entry with an encoded command as its body.
    Command = 2,
    /// A log entry with a voter set as JSON in its body.
    Voters = 3,
    /// A term; the body has the id of the candidate voted for, or is empty.
    HardState = 4,
    /// The position of the current snapshot; log entries after it remain valid.
    SnapshotMark = 5,
    /// The position of the current snapshot; all log entries written before this record are discarded.
    Reset = 6,
    /// The position of the last log entry at the start of a segment.
    LastEntry = 7,
    /// The metadata of a snapshot as JSON.
    SnapshotMeta = 8,
    /// A chunk of the data of a snapshot; the index is its byte offset.
    SnapshotData = 9,
    /// The end of a snapshot; the index is the size of the data in bytes.
    SnapshotEnd = 10,
}

impl RecordKind {
    /// Decodes the kind byte of a record header; returns `None` for an unknown kind.
    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        use RecordKind::*;
        let all = [
            Noop,
            Command,
            Voters,
            HardState,
            SnapshotMark,
            Reset,
            LastEntry,
            SnapshotMeta,
            SnapshotData,
            SnapshotEnd,
        ];
        all.into_iter().find(|kind| *kind as u8 == byte)
    }
}
