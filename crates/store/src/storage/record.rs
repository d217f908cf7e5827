use super::little_endian::{u32_at, u64_at};
use super::{Position, RecordKind};
use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{EntryPayload, HardState, LogEntry};

/// One record of a segment or a snapshot file.
///
/// Layout, little endian: CRC-32 of all following bytes of the record (4 bytes), length of the body (4),
/// index (8), term (8), kind (1), body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record<'a> {
    pub(crate) kind: RecordKind,
    /// A log index, or a byte offset in the data of a snapshot.
    pub(crate) index: u64,
    /// 0 for kinds without a term.
    pub(crate) term: u64,
    pub(crate) body: &'a [u8],
}

impl<'a> Record<'a> {
    /// Size of the fields before the body.
    pub(crate) const HEADER_BYTES: usize = 25;

    /// Creates a record without a body that refers to a log position.
    pub(crate) fn position(kind: RecordKind, at: Position) -> Self {
        Self { kind, index: at.index.get(), term: at.term.get(), body: &[] }
    }

    /// Appends the encoded record to a buffer.
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        buf.extend_from_slice(&[0; 4]);
        // Callers enforce the size limits in `limits`, which are far below 4 GiB.
        buf.extend_from_slice(&(self.body.len() as u32).to_le_bytes());
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.extend_from_slice(&self.term.to_le_bytes());
        buf.push(self.kind as u8);
        buf.extend_from_slice(self.body);
        let crc = crc32fast::hash(&buf[start + 4..]);
        buf[start..start + 4].copy_from_slice(&crc.to_le_bytes());
    }

    /// Decodes the record at the start of `bytes`; returns it with its encoded size.
    pub(crate) fn decode(bytes: &'a [u8]) -> Result<(Self, usize), &'static str> {
        const TRUNCATED: &str = "the record is truncated";
        let header = bytes.get(..Self::HEADER_BYTES).ok_or(TRUNCATED)?;
        let crc = u32_at(header, 0).ok_or(TRUNCATED)?;
        let length = u32_at(header, 4).ok_or(TRUNCATED)? as usize;
        let size = Self::HEADER_BYTES + length;
        let checked = bytes.get(4..size).ok_or(TRUNCATED)?;
        if crc32fast::hash(checked) != crc {
            return Err("record checksum mismatch");
        }
        let kind = RecordKind::from_byte(header[24]).ok_or("unknown record kind")?;
        let index = u64_at(header, 8).ok_or(TRUNCATED)?;
        let term = u64_at(header, 16).ok_or(TRUNCATED)?;
        Ok((Self { kind, index, term, body: &bytes[Self::HEADER_BYTES..size] }, size))
    }

    /// Interprets the record as a hard state.
    pub(crate) fn to_hard_state(self) -> Result<HardState, &'static str> {
        let voted_for = match self.body {
            [] => None,
            body => Some(
                body.try_into().map_err(|_| "the replica id of the vote is not 16 bytes long")?,
            ),
        };
        Ok(HardState {
            term: Term::new(self.term),
            voted_for: voted_for.map(ReplicaId::from_bytes),
        })
    }

    /// Interprets the record as a log entry; returns `None` for other kinds.
    pub(crate) fn to_entry(self) -> Result<Option<LogEntry>, &'static str> {
        let payload = match self.kind {
            RecordKind::Noop => EntryPayload::Noop,
            RecordKind::Command => EntryPayload::Command(self.body.into()),
            RecordKind::Voters => EntryPayload::Voters(
                serde_json::from_slice(self.body).map_err(|_| "the voter set is not valid JSON")?,
            ),
            _ => return Ok(None),
        };
        let at = self.to_position();
        Ok(Some(LogEntry { index: at.index, term: at.term, payload }))
    }

    /// Returns the log position that the record refers to.
    pub(crate) fn to_position(self) -> Position {
        Position { index: LogIndex::new(self.index), term: Term::new(self.term) }
    }
}
