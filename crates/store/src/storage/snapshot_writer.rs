use super::folder::temporary_path;
use super::json::encode_json;
use super::{
    Folder, FolderListing, Position, Record, RecordKind, ReplySender, StorageError, snapshot_file,
};
use masticstair_core::id::LogIndex;
use masticstair_core::message::SnapshotMeta;
use masticstair_core::unit::ByteCount;
use std::fs::File;
use std::path::PathBuf;

/// Writes a snapshot file in chunks, so that appends can be committed in between.
pub(crate) struct SnapshotWriter {
    meta: Box<SnapshotMeta>,
    data: Box<[u8]>,
    /// Receives the result once the snapshot is installed or has failed.
    pub(crate) reply: ReplySender,
    /// The temporary file and its path; `None` before the first chunk.
    file: Option<(File, PathBuf)>,
    /// Number of data bytes written.
    offset: usize,
}

impl SnapshotWriter {
    pub(crate) fn new(meta: Box<SnapshotMeta>, data: Box<[u8]>, reply: ReplySender) -> Self {
        Self { meta, data, reply, file: None, offset: 0 }
    }

    /// Returns the position of the last entry in the snapshot.
    pub(crate) fn position(&self) -> Position {
        Position { index: self.meta.index, term: self.meta.term }
    }

    /// Checks that the data has the size in the metadata and that the snapshot is newer than the saved one.
    pub(crate) fn validate(&self, saved: LogIndex) -> Result<(), StorageError> {
        let (size, stated) = (self.data.len() as u64, self.meta.size);
        if size != stated {
            let (size, stated) = (ByteCount::new(size), ByteCount::new(stated));
            return Err(StorageError::SnapshotSize { size, stated });
        }
        let index = self.meta.index;
        if index <= saved {
            return Err(StorageError::StaleSnapshot { index, saved });
        }
        Ok(())
    }

    /// Writes and syncs the next chunk. Returns true once the snapshot is durable under its final name.
    pub(crate) fn write_chunk(
        &mut self,
        folder: &mut Folder,
        chunk_size: usize,
    ) -> Result<bool, StorageError> {
        let mut buf = Vec::new();
        let (file, path) = match self.file.take() {
            Some(open) => open,
            None => {
                let path = temporary_path(&FolderListing::snapshot_path(folder, self.meta.index));
                self.encode_meta(&mut buf)?;
                (folder.create(&path)?, path)
            }
        };
        self.encode_chunk(&mut buf, chunk_size);
        folder.write(&file, &path, &buf)?;
        folder.sync(&file, &path)?;
        let complete = self.offset == self.data.len();
        if complete {
            folder.rename(&path, &FolderListing::snapshot_path(folder, self.meta.index))?;
        } else {
            self.file = Some((file, path));
        }
        Ok(complete)
    }

    fn encode_meta(&self, buf: &mut Vec<u8>) -> Result<(), StorageError> {
        let body = encode_json("a snapshot description", &self.meta)?;
        buf.extend_from_slice(snapshot_file::MAGIC);
        let at = self.position();
        Record { body: &body, ..Record::position(RecordKind::SnapshotMeta, at) }.encode(buf);
        Ok(())
    }

    fn encode_chunk(&mut self, buf: &mut Vec<u8>, chunk_size: usize) {
        let end = self.data.len().min(self.offset + chunk_size.max(1));
        let body = &self.data[self.offset..end];
        let kind = RecordKind::SnapshotData;
        Record { kind, index: self.offset as u64, term: 0, body }.encode(buf);
        self.offset = end;
        if end == self.data.len() {
            let kind = RecordKind::SnapshotEnd;
            Record { kind, index: end as u64, term: 0, body: &[] }.encode(buf);
        }
    }
}
