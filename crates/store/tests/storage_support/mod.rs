//! Helpers of the storage tests: a model of the expected contents, and functions that run calls on a data
//! folder.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod faulty_disk;

use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{EntryPayload, HardState, LogEntry, SnapshotMeta, VoterSet};
use masticstair_core::unit::ByteCount;
use masticstair_net::runtime::block_on;
use masticstair_store::storage::{
    FileOps, Recovered, StorageError, StorageHandle, StorageOptions, open_with,
};
use std::path::{Path, PathBuf};

/// A storage call, with plain integers instead of the core types.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// First index, last index, term.
    Append(u64, u64, u64),
    /// Term, vote.
    HardState(u64, u8),
    /// Index, term.
    Snapshot(u64, u64),
}

/// The state that recovery must find after some steps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub hard_state: HardState,
    pub snapshot: (u64, Vec<u8>),
    pub entries: Vec<LogEntry>,
}

impl Model {
    pub fn of(recovered: &Recovered) -> Self {
        let snapshot = recovered.snapshot.as_ref();
        Self {
            hard_state: recovered.hard_state,
            snapshot: snapshot.map_or((0, vec![]), |(m, data)| (m.index.get(), data.to_vec())),
            entries: recovered.entries.clone(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Append(first, last, term) => {
                self.entries.retain(|e| e.index.get() < first);
                self.entries.extend(entries(first, last, term));
            }
            Step::HardState(term, vote) => self.hard_state = hard_state(term, vote),
            Step::Snapshot(index, term) => {
                let at = (LogIndex::new(index), Term::new(term));
                let keeps_tail = self.entries.iter().any(|e| (e.index, e.term) == at);
                self.entries.retain(|e| keeps_tail && e.index.get() > index);
                self.snapshot = (index, data(index).to_vec());
            }
        }
    }
}

pub fn entries(first: u64, last: u64, term: u64) -> Vec<LogEntry> {
    let payload = |index: u64| match index % 7 {
        0 => EntryPayload::Noop,
        1 => EntryPayload::Voters(Box::default()),
        // Some commands contain whole sectors of zeros, which recovery must not mistake for a torn write.
        2 => EntryPayload::Command(vec![0; 1100].into()),
        _ => EntryPayload::Command(vec![index as u8; index as usize % 50].into()),
    };
    let entry = |index| LogEntry {
        index: LogIndex::new(index),
        term: Term::new(term),
        payload: payload(index),
    };
    (first..=last).map(entry).collect()
}

pub fn hard_state(term: u64, vote: u8) -> HardState {
    let voted_for = (vote > 0).then(|| ReplicaId::from_bytes([vote; 16]));
    HardState { term: Term::new(term), voted_for }
}

pub fn data(index: u64) -> Box<[u8]> {
    vec![index as u8; 300].into()
}

pub fn meta(index: u64, term: u64) -> SnapshotMeta {
    let (index, term) = (LogIndex::new(index), Term::new(term));
    SnapshotMeta { index, term, voters: VoterSet::default(), size: 300 }
}

pub async fn call(storage: &StorageHandle, step: Step) -> Result<(), StorageError> {
    match step {
        Step::Append(first, last, term) => storage.append(entries(first, last, term)).await,
        Step::HardState(term, vote) => storage.save_hard_state(hard_state(term, vote)).await,
        Step::Snapshot(index, term) => storage.save_snapshot(meta(index, term), data(index)).await,
    }
}

/// Opens a folder with small segments and snapshot chunks, so that short tests cover several of them.
pub fn open_small(folder: &Path, ops: FileOps) -> Result<(StorageHandle, Recovered), StorageError> {
    let (segment_size, snapshot_chunk_size) = (ByteCount::new(2000), ByteCount::new(64));
    open_with(folder, StorageOptions { ops, segment_size, snapshot_chunk_size })
}

/// Returns operations that skip syncs, for tests that open thousands of folders and simulate no power loss.
pub fn no_sync_ops() -> FileOps {
    let sync_folder = Box::new(|_: &Path| Ok(()));
    FileOps { sync: Box::new(|_| Ok(())), sync_folder, ..FileOps::system() }
}

/// Opens a folder, runs steps that must succeed, and closes it. Returns the state recovered before the steps.
pub fn run(folder: &Path, steps: &[Step]) -> Recovered {
    let (storage, recovered) = open_small(folder, FileOps::system()).unwrap();
    for step in steps {
        wait(call(&storage, *step)).unwrap();
    }
    wait(storage.close()).unwrap();
    recovered
}

pub fn wait<F: Future>(f: F) -> F::Output {
    block_on(f).unwrap()
}

/// Lists the files whose names start with a prefix, in order of their names.
pub fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let mut found: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .filter(|p| p.file_name().unwrap().to_str().unwrap().starts_with(prefix))
        .collect();
    found.sort();
    found
}
