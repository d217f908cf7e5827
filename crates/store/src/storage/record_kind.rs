/// What a record holds. The numbers are part of the file format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordKind {
    /// A log entry without effect.
    Noop = 1,
    /// A log entry with an encoded command as its body.
    Command = 2,
    /// A log entry with a set of voters as JSON in its body.
    Voters = 3,
    /// A term, and in the body the candidate that got the vote.
    HardState = 4,
    /// The position of the current snapshot; the log entries after it stay.
    SnapshotMark = 5,
    /// The position of the current snapshot; every earlier log entry is void.
    Reset = 6,
    /// The last log entry at the time when a segment was begun.
    LastEntry = 7,
    /// The description of a snapshot as JSON.
    SnapshotMeta = 8,
    /// A piece of the data of a snapshot; the index is its offset.
    SnapshotData = 9,
    /// The end of a snapshot; the index is the size of the data.
    SnapshotEnd = 10,
}

impl RecordKind {
    /// Reads the number in a record header.
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
