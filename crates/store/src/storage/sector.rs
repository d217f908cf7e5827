//! Sectors that a disk never wrote.

/// Disks write a sector either completely or not at all; one that was never written reads as zeros.
const SECTOR_BYTES: usize = 512;

/// Counts the sectors whose part in `bytes` has only zeros; `offset` is where the bytes stand in the file.
pub(crate) fn count_zero_sectors(bytes: &[u8], offset: usize) -> usize {
    let (first, rest) = bytes.split_at(bytes.len().min(SECTOR_BYTES - offset % SECTOR_BYTES));
    let parts = std::iter::once(first).chain(rest.chunks(SECTOR_BYTES));
    parts.filter(|part| !part.is_empty() && part.iter().all(|b| *b == 0)).count()
}

/// Returns the end of the sector that holds the byte before `offset`.
pub(crate) fn round_up_to_sector(offset: usize) -> usize {
    offset.next_multiple_of(SECTOR_BYTES)
}
