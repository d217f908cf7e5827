use super::BatchHeader;
use super::sector::{count_zero_sectors, round_up_to_sector};

/// The reason a batch could not be decoded.
#[derive(Clone, Debug)]
pub(crate) struct BatchError {
    /// Byte offset in the file.
    pub(crate) offset: usize,
    pub(crate) reason: Box<str>,
    /// The header of the batch; `None` if its magic number or checksum is wrong.
    pub(crate) header: Option<BatchHeader>,
}

impl BatchError {
    /// Returns whether the batch at offset `at` of the last segment can be a torn write, which was never
    /// acknowledged.
    ///
    /// A torn write leaves a file that is too short, or sectors that were never written and read as zeros.
    /// A batch of full length with other contents was modified after its sync and counts as corruption.
    pub(crate) fn is_torn(&self, file: &[u8], at: usize) -> bool {
        let start = at + BatchHeader::SIZE_BYTES;
        if start > file.len() {
            return true;
        }
        let Some(header) = self.header else {
            let sectors = &file[at..round_up_to_sector(start).min(file.len())];
            return count_zero_sectors(sectors, at) > 0 && !contains_batch_header(&file[at..]);
        };
        let end = start + header.body_len;
        let zero_sectors = |records| count_zero_sectors(records, start);
        end > file.len()
            || (end == file.len() && zero_sectors(&file[start..]) > header.zero_sectors)
    }
}

/// Returns whether the bytes contain a valid batch header at any offset. If they do, everything before that
/// header has been synced.
fn contains_batch_header(bytes: &[u8]) -> bool {
    bytes.windows(BatchHeader::SIZE_BYTES).any(|window| BatchHeader::decode(window).is_some())
}
