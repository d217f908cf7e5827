use super::little_endian::{u32_at, u64_at};
use super::{BatchNumber, SegmentNumber};
use masticstair_core::id::ReplicaId;

/// The first bytes of a segment.
///
/// Layout, little endian: magic (8 bytes), segment number (8), number of the first batch (8), replica (16),
/// CRC-32 of these (4).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SegmentHeader {
    /// The number in the file name.
    pub(crate) number: SegmentNumber,
    /// The batch that follows the header.
    pub(crate) first_batch: BatchNumber,
    /// The folder that the segment belongs to, so that a file of another replica is refused.
    pub(crate) replica: ReplicaId,
}

const MAGIC: &[u8; 8] = b"mstwal\x00\x01";

impl SegmentHeader {
    /// The size of the header.
    pub(crate) const SIZE_BYTES: usize = 44;

    /// Appends the encoded header to a buffer.
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        buf.extend_from_slice(MAGIC);
        buf.extend_from_slice(&self.number.0.to_le_bytes());
        buf.extend_from_slice(&self.first_batch.0.to_le_bytes());
        buf.extend_from_slice(self.replica.as_bytes());
        let crc = crc32fast::hash(&buf[start..]);
        buf.extend_from_slice(&crc.to_le_bytes());
    }

    /// Reads the header of a segment; `None` when it is not intact.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let checked = bytes.get(..40)?;
        let intact = checked.starts_with(MAGIC) && u32_at(bytes, 40)? == crc32fast::hash(checked);
        intact.then_some(())?;
        Some(Self {
            number: SegmentNumber(u64_at(bytes, 8)?),
            first_batch: BatchNumber(u64_at(bytes, 16)?),
            replica: ReplicaId::from_bytes(bytes.get(24..40)?.try_into().ok()?),
        })
    }
}
