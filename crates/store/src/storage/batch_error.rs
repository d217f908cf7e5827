use super::BatchHeader;
use super::sector::{count_zero_sectors, round_up_to_sector};

/// Why a batch could not be read.
#[derive(Clone, Debug)]
pub(crate) struct BatchError {
    /// Where in the file.
    pub(crate) offset: usize,
    /// What was found.
    pub(crate) reason: Box<str>,
    /// The header of the batch, when it is intact.
    pub(crate) header: Option<BatchHeader>,
}

impl BatchError {
    /// Tells whether the batch at `at` in the last segment can be the remains of an interrupted write that
    /// was never acknowledged.
    ///
    /// Such a write leaves a file that is too short, or sectors that were never written and read as zeros.
    /// A complete batch with another content was changed after its sync, and so it is damage.
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

/// Tells whether an intact batch header stands anywhere in the bytes. It proves that all before it was
/// synced.
fn contains_batch_header(bytes: &[u8]) -> bool {
    bytes.windows(BatchHeader::SIZE_BYTES).any(|window| BatchHeader::decode(window).is_some())
}
