//! Durable storage: write-ahead log, snapshots, identity and the storage thread.
//!
//! A data folder holds these files:
//!
//! - `lock`: locked exclusively while a process uses the folder.
//! - `identity`: the random identity of the replica, generated when the folder is created.
//! - `wal-N`: the segments of the write-ahead log, with entries, terms and votes.
//! - `snapshot-N`: the state up to log entry N.
//! - `*.tmp`: incomplete files; removed by recovery.
//! - `set-aside`: corrupted contents that `repair` moved out of the way.
//!
//! A new file is written under a temporary name, synced and renamed, and then its folder is synced. Only the
//! last segment is appended to. The storage thread combines waiting calls into one batch, which one write and
//! one sync make durable (group commit). A batch is written only after the previous one has been synced, so a
//! torn write can occur only at the end of the last segment, where recovery truncates it. Any other
//! corruption is reported with file and offset, and the folder is not used.

mod active_segment;
mod batch;
mod batch_error;
mod batch_header;
mod batch_number;
mod commit_group;
mod entry_encoding;
mod file_ops;
mod folder;
mod folder_listing;
mod folder_scan;
mod identity;
mod json;
mod last_segment;
mod limits;
mod little_endian;
mod log_writer;
mod open;
mod position;
mod record;
mod record_kind;
mod recovered;
mod recovery;
mod repair;
mod replay;
mod request;
mod sector;
mod segment_header;
mod segment_number;
mod segment_reader;
mod segment_span;
mod snapshot_file;
mod snapshot_writer;
mod storage_error;
mod storage_handle;
mod storage_options;
mod storage_thread;
mod term_runs;
#[cfg(test)]
mod tests;

pub use file_ops::{FileOps, PathOp, ReadOp, RenameOp, SyncOp, WriteOp};
pub use open::{open, open_with};
pub use recovered::Recovered;
pub use repair::repair;
pub use storage_error::StorageError;
pub use storage_handle::StorageHandle;
pub use storage_options::StorageOptions;

pub(crate) use active_segment::ActiveSegment;
pub(crate) use batch::Batch;
pub(crate) use batch_error::BatchError;
pub(crate) use batch_header::BatchHeader;
pub(crate) use batch_number::BatchNumber;
pub(crate) use commit_group::CommitGroup;
pub(crate) use folder::Folder;
pub(crate) use folder_listing::FolderListing;
pub(crate) use folder_scan::FolderScan;
pub(crate) use last_segment::LastSegment;
pub(crate) use log_writer::LogWriter;
pub(crate) use position::Position;
pub(crate) use record::Record;
pub(crate) use record_kind::RecordKind;
pub(crate) use replay::Replay;
pub(crate) use request::{ReplySender, Request};
pub(crate) use segment_header::SegmentHeader;
pub(crate) use segment_number::SegmentNumber;
pub(crate) use segment_reader::SegmentReader;
pub(crate) use segment_span::SegmentSpan;
pub(crate) use snapshot_writer::SnapshotWriter;
pub(crate) use storage_thread::StorageThread;
pub(crate) use term_runs::TermRuns;
