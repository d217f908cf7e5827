use super::{BatchError, BatchHeader, BatchNumber, Record};

/// A group of records that one write and one sync make durable: a header, then the records.
///
/// A batch is written only after the previous one has been synced. A batch that is followed by another one is
/// therefore complete, and only the last batch of the log can be torn.
#[derive(Debug)]
pub(crate) struct Batch<'a> {
    /// The records, each with its byte offset in the file.
    pub(crate) records: Vec<(usize, Record<'a>)>,
    /// Byte offset in the file at which the batch ends.
    pub(crate) end: usize,
}

impl<'a> Batch<'a> {
    /// Decodes the batch at offset `at` of a segment file.
    pub(crate) fn decode(
        file: &'a [u8],
        at: usize,
        expected: BatchNumber,
    ) -> Result<Self, BatchError> {
        let header = BatchHeader::decode(&file[at..]);
        let error = |offset, reason: &str| BatchError { offset, reason: reason.into(), header };
        let Some(BatchHeader { number, body_len, .. }) = header else {
            return Err(error(at, "invalid magic number or checksum in the batch header"));
        };
        if number != expected {
            return Err(error(at, &format!("found batch {number}, expected batch {expected}")));
        }
        let start = at + BatchHeader::SIZE_BYTES;
        let end = start + body_len;
        if end > file.len() {
            return Err(error(at, "the batch is longer than the file"));
        }
        let records = decode_records(&file[..end], start);
        Ok(Self { records: records.map_err(|(offset, reason)| error(offset, reason))?, end })
    }
}

fn decode_records(
    bytes: &[u8],
    start: usize,
) -> Result<Vec<(usize, Record<'_>)>, (usize, &'static str)> {
    let mut records = Vec::new();
    let mut at = start;
    while at < bytes.len() {
        let (record, size) = Record::decode(&bytes[at..]).map_err(|reason| (at, reason))?;
        records.push((at, record));
        at += size;
    }
    Ok(records)
}
