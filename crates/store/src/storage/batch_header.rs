use super::BatchNumber;
use super::little_endian::{u32_at, u64_at};
use super::sector::count_blank;

/// The first bytes of a batch.
///
/// Layout, little endian: magic (4 bytes), length of the records (4), batch number (8), blank sectors (4),
/// CRC-32 of these (4).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BatchHeader {
    /// The number of the batch.
    pub(crate) number: BatchNumber,
    /// The size of the records in bytes.
    pub(crate) length: usize,
    /// How many sectors of the records have only zeros, because a command does. If more are found, then some
    /// were never written.
    pub(crate) blank_sectors: usize,
}

/// The bytes at the start of every batch.
const MAGIC: u32 = 0x4253_6d31;

impl BatchHeader {
    /// The size of the header.
    pub(crate) const SIZE: usize = 24;

    /// Fills in the header of a batch whose records follow `SIZE` reserved bytes, and which is written at an
    /// offset of the file.
    pub(crate) fn seal(batch: &mut [u8], number: BatchNumber, offset: usize) {
        let blank = count_blank(&batch[Self::SIZE..], offset + Self::SIZE) as u32;
        // One group is bounded by `GROUP_TARGET` plus `MAX_APPEND`, far below 4 GiB.
        let length = (batch.len() - Self::SIZE) as u32;
        batch[..4].copy_from_slice(&MAGIC.to_le_bytes());
        batch[4..8].copy_from_slice(&length.to_le_bytes());
        batch[8..16].copy_from_slice(&number.0.to_le_bytes());
        batch[16..20].copy_from_slice(&blank.to_le_bytes());
        let crc = crc32fast::hash(&batch[..20]);
        batch[20..Self::SIZE].copy_from_slice(&crc.to_le_bytes());
    }

    /// Reads a header; `None` when it is not intact.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let intact =
            u32_at(bytes, 0)? == MAGIC && u32_at(bytes, 20)? == crc32fast::hash(bytes.get(..20)?);
        intact.then_some(())?;
        Some(Self {
            length: u32_at(bytes, 4)? as usize,
            number: BatchNumber(u64_at(bytes, 8)?),
            blank_sectors: u32_at(bytes, 16)? as usize,
        })
    }
}
