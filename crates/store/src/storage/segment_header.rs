use super::little_endian::{u32_at, u64_at};
use super::{BatchNumber, SegmentNumber};
use masticstair_core::id::ReplicaId;

/// The header of a segment.
///
/// Layout, little endian: magic number (8 bytes), segment number (8), number of the first batch (8), replica
/// id (16), CRC-32 of the preceding fields (4).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SegmentHeader {
    /// The same as in the file name.
    pub(crate) number: SegmentNumber,
    /// Number of the batch that follows the header.
    pub(crate) first_batch: BatchNumber,
    /// The replica that wrote the segment. Recovery rejects a segment of another replica.
    pub(crate) replica: ReplicaId,
}

const MAGIC: &[u8; 8] = b"mstwal\x00\x01";

impl SegmentHeader {
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

    /// Decodes a header; returns `None` if its magic number or checksum is wrong.
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
