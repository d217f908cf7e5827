//! The file with the identity of the replica that owns the data folder.
//!
//! It holds one line: the format, the replica id, and the CRC-32 of the id in hexadecimal.

use super::folder_listing::IDENTITY_FILE;
use super::{Folder, StorageError};
use masticstair_core::id::ReplicaId;

const FORMAT: &str = "masticstair-replica-v1";

pub(crate) fn read(folder: &Folder) -> Result<ReplicaId, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    let bytes = folder.read(&path)?;
    decode(&bytes)
        .ok_or_else(|| StorageError::damaged(&path, 0, "malformed identity or wrong checksum"))
}

/// Writes the identity atomically and durably.
pub(crate) fn write(folder: &mut Folder, id: ReplicaId) -> Result<(), StorageError> {
    let path = folder.join(IDENTITY_FILE);
    folder.replace(&path, encode(id).as_bytes()).map(drop)
}

fn encode(id: ReplicaId) -> String {
    format!("{FORMAT} {id} {:08x}\n", crc32fast::hash(id.as_bytes()))
}

fn decode(bytes: &[u8]) -> Option<ReplicaId> {
    let text = std::str::from_utf8(bytes).ok()?;
    let id = text.split(' ').nth(1)?.parse().ok()?;
    // Comparing the re-encoded text detects every flipped bit, including those outside the checksum.
    (encode(id) == text).then_some(id)
}
