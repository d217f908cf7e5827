use super::BatchHeader;
use super::sector::{count_blank, round_up};

/// Why a batch could not be read.
#[derive(Clone, Debug)]
pub(crate) struct RecordFault {
    /// Where in the file.
    pub(crate) offset: usize,
    /// What was found.
    pub(crate) reason: Box<str>,
    /// The header of the batch, when it is intact.
    pub(crate) header: Option<BatchHeader>,
}

impl RecordFault {
    /// Tells whether the batch at `at` in the last segment can be the remains of an interrupted write that
    /// was never acknowledged.
    ///
    /// Such a write leaves a file that is too short, or sectors that were never written and read as zeros.
    /// A complete batch with another content was changed after its sync, and so it is damage.
    pub(crate) fn is_torn(&self, file: &[u8], at: usize) -> bool {
        let start = at + BatchHeader::SIZE;
        if start > file.len() {
            return true;
        }
        let Some(header) = self.header else {
            let sectors = &file[at..round_up(start).min(file.len())];
            return count_blank(sectors, at) > 0 && !has_batch(&file[at..]);
        };
        let end = start + header.length;
        let blank = |records| count_blank(records, start);
        end > file.len() || (end == file.len() && blank(&file[start..]) > header.blank_sectors)
    }
}

/// Tells whether an intact batch header stands anywhere in the bytes. It proves that all before it was
/// synced.
fn has_batch(bytes: &[u8]) -> bool {
    bytes.windows(BatchHeader::SIZE).any(|window| BatchHeader::decode(window).is_some())
}
