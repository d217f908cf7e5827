use super::BatchNumber;
use super::little_endian::{u32_at, u64_at};
use super::sector::count_zero_sectors;

/// The first bytes of a batch.
///
/// Layout, little endian: magic (4 bytes), length of the records (4), batch number (8), blank sectors (4),
/// CRC-32 of these (4).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BatchHeader {
    /// The number of the batch.
    pub(crate) number: BatchNumber,
    /// The size of the records in bytes.
    pub(crate) body_len: usize,
    /// How many sectors of the records have only zeros, because a command does. If more are found, then some
    /// were never written.
    pub(crate) zero_sectors: usize,
}

/// The bytes at the start of every batch.
const MAGIC: u32 = 0x4253_6d31;

impl BatchHeader {
    /// The size of the header.
    pub(crate) const SIZE_BYTES: usize = 24;

    /// Fills in the header of a batch whose records follow `SIZE_BYTES` reserved bytes, and which is written at an
    /// offset of the file.
    pub(crate) fn write_header(batch: &mut [u8], number: BatchNumber, offset: usize) {
        let zero_sectors =
            count_zero_sectors(&batch[Self::SIZE_BYTES..], offset + Self::SIZE_BYTES) as u32;
        // One group is bounded by `GROUP_COMMIT_TARGET_BYTES` plus `MAX_APPEND_BYTES`, far below 4 GiB.
        let body_len = (batch.len() - Self::SIZE_BYTES) as u32;
        batch[..4].copy_from_slice(&MAGIC.to_le_bytes());
        batch[4..8].copy_from_slice(&body_len.to_le_bytes());
        batch[8..16].copy_from_slice(&number.0.to_le_bytes());
        batch[16..20].copy_from_slice(&zero_sectors.to_le_bytes());
        let crc = crc32fast::hash(&batch[..20]);
        batch[20..Self::SIZE_BYTES].copy_from_slice(&crc.to_le_bytes());
    }

    /// Reads a header; `None` when it is not intact.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let intact =
            u32_at(bytes, 0)? == MAGIC && u32_at(bytes, 20)? == crc32fast::hash(bytes.get(..20)?);
        intact.then_some(())?;
        Some(Self {
            body_len: u32_at(bytes, 4)? as usize,
            number: BatchNumber(u64_at(bytes, 8)?),
            zero_sectors: u32_at(bytes, 16)? as usize,
        })
    }
}
