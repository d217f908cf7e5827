use super::{BatchError, BatchHeader, BatchNumber, Record};

/// The records that one write and one sync made durable together: a header, then the records.
///
/// A batch is written only after the one before it was synced. So a batch with anything after it was
/// complete, and only the last batch of the log can be torn.
#[derive(Debug)]
pub(crate) struct Batch<'a> {
    /// The records, each with its offset in the file.
    pub(crate) records: Vec<(usize, Record<'a>)>,
    /// The offset in the file after the batch.
    pub(crate) end: usize,
}

impl<'a> Batch<'a> {
    /// Reads the batch at an offset of a file.
    pub(crate) fn decode(
        file: &'a [u8],
        at: usize,
        expected: BatchNumber,
    ) -> Result<Self, BatchError> {
        let header = BatchHeader::decode(&file[at..]);
        let error = |offset, reason: &str| BatchError { offset, reason: reason.into(), header };
        let Some(BatchHeader { number, body_len, .. }) = header else {
            return Err(error(at, "the checksum of the batch header does not match"));
        };
        if number != expected {
            return Err(error(at, &format!("batch {number} stands where {expected} belongs")));
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
