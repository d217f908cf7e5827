//! Decoding of snapshot files.
//!
//! A snapshot file has a magic number, a record with the metadata, records with the data in order, and an end
//! record.

use super::{Folder, FolderListing, Record, RecordKind, StorageError};
use masticstair_core::id::LogIndex;
use masticstair_core::message::SnapshotMeta;

/// The magic number at the start of a snapshot file.
pub(crate) const MAGIC: &[u8; 8] = b"mstsnp\x00\x01";

/// Reads and checks the snapshot whose last entry is `index`.
pub(crate) fn read(
    folder: &Folder,
    index: LogIndex,
) -> Result<(SnapshotMeta, Box<[u8]>), StorageError> {
    let path = FolderListing::snapshot_path(folder, index);
    let bytes = folder.read(&path)?;
    decode(&bytes, index).map_err(|(offset, reason)| StorageError::damaged(&path, offset, reason))
}

type DecodeError = (usize, &'static str);

fn decode(bytes: &[u8], index: LogIndex) -> Result<(SnapshotMeta, Box<[u8]>), DecodeError> {
    if !bytes.starts_with(MAGIC) {
        return Err((0, "not a snapshot file: wrong magic number"));
    }
    let mut at = MAGIC.len();
    let meta = decode_meta(next_record(bytes, &mut at)?, index)?;
    let mut data = Vec::new();
    loop {
        let offset = at;
        let record = next_record(bytes, &mut at)?;
        match record.kind {
            RecordKind::SnapshotData if record.index == data.len() as u64 => {
                data.extend_from_slice(record.body);
            }
            RecordKind::SnapshotEnd if meta.size == data.len() as u64 && at == bytes.len() => {
                return Ok((meta, data.into()));
            }
            _ => return Err((offset, "unexpected record in the snapshot")),
        }
    }
}

fn next_record<'a>(bytes: &'a [u8], at: &mut usize) -> Result<Record<'a>, DecodeError> {
    let (record, size) = Record::decode(&bytes[*at..]).map_err(|reason| (*at, reason))?;
    *at += size;
    Ok(record)
}

fn decode_meta(record: Record<'_>, index: LogIndex) -> Result<SnapshotMeta, DecodeError> {
    let at = MAGIC.len();
    let meta: SnapshotMeta = match record.kind {
        RecordKind::SnapshotMeta => serde_json::from_slice(record.body)
            .map_err(|_| (at, "the snapshot metadata is not valid JSON"))?,
        _ => return Err((at, "the snapshot metadata is missing")),
    };
    if meta.index != index {
        return Err((at, "the snapshot metadata has another index than the file name"));
    }
    Ok(meta)
}
