use super::BatchNumber;
use super::little_endian::{u32_at, u64_at};
use super::sector::count_zero_sectors;

/// The header of a batch.
///
/// Layout, little endian: magic number (4 bytes), length of the records (4), batch number (8), count of zero
/// sectors (4), CRC-32 of the preceding fields (4).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BatchHeader {
    pub(crate) number: BatchNumber,
    /// Length of the records in bytes, without the header.
    pub(crate) body_len: usize,
    /// Number of sectors of the records that contain only zeros, as the payload of a command can. If recovery
    /// finds more of them, some sectors were never written.
    pub(crate) zero_sectors: usize,
}

const MAGIC: u32 = 0x4253_6d31;

impl BatchHeader {
    pub(crate) const SIZE_BYTES: usize = 24;

    /// Writes the header into the first `SIZE_BYTES` bytes of `batch`, which are reserved for it. `offset` is
    /// the position in the file at which the batch will be written; it determines the sector boundaries.
    pub(crate) fn write_header(batch: &mut [u8], number: BatchNumber, offset: usize) {
        let zero_sectors =
            count_zero_sectors(&batch[Self::SIZE_BYTES..], offset + Self::SIZE_BYTES) as u32;
        // A batch has at most `GROUP_COMMIT_TARGET_BYTES` plus `MAX_APPEND_BYTES`, far below 4 GiB.
        let body_len = (batch.len() - Self::SIZE_BYTES) as u32;
        batch[..4].copy_from_slice(&MAGIC.to_le_bytes());
        batch[4..8].copy_from_slice(&body_len.to_le_bytes());
        batch[8..16].copy_from_slice(&number.0.to_le_bytes());
        batch[16..20].copy_from_slice(&zero_sectors.to_le_bytes());
        let crc = crc32fast::hash(&batch[..20]);
        batch[20..Self::SIZE_BYTES].copy_from_slice(&crc.to_le_bytes());
    }

    /// Decodes a header; returns `None` if its magic number or checksum is wrong.
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
