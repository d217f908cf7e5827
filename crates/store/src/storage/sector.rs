//! Detection of disk sectors that were never written.

/// Disks write a sector atomically; a sector that was never written reads as zeros.
const SECTOR_BYTES: usize = 512;

/// Counts the sectors whose part in `bytes` contains only zeros; `offset` is the position of `bytes` in the
/// file.
pub(crate) fn count_zero_sectors(bytes: &[u8], offset: usize) -> usize {
    let (first, rest) = bytes.split_at(bytes.len().min(SECTOR_BYTES - offset % SECTOR_BYTES));
    let parts = std::iter::once(first).chain(rest.chunks(SECTOR_BYTES));
    parts.filter(|part| !part.is_empty() && part.iter().all(|b| *b == 0)).count()
}

/// Rounds an offset up to the next sector boundary.
pub(crate) fn round_up_to_sector(offset: usize) -> usize {
    offset.next_multiple_of(SECTOR_BYTES)
}
