//! Tests of `open` and `repair` after files have been modified, truncated or removed.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a failure must end the test")]

mod storage_support;

use masticstair_store::storage::{FileOps, StorageError, open, repair};
use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::Path;
use storage_support::Step::{Append, HardState, Snapshot};
use storage_support::{Model, Step, files, no_sync_ops, open_small, run};

/// Calls that produce a snapshot, several segments, and a last segment with several batches.
const STEPS: &[Step] = &[
    HardState(1, 1),
    Append(1, 20, 1),
    Snapshot(10, 1),
    Append(21, 40, 1),
    Append(41, 43, 2),
    HardState(3, 2),
    Append(42, 42, 3),
    // The last two batches are longer than a sector and contain sectors of zeros.
    Append(43, 48, 3),
    Append(49, 52, 3),
];

fn copy(from: &Path) -> tempfile::TempDir {
    let to = tempfile::tempdir().unwrap();
    for path in files(from, "") {
        fs::copy(&path, to.path().join(path.file_name().unwrap())).unwrap();
    }
    to
}

/// Guards against a flipped bit that is ignored, truncated as a torn write, or reported at a wrong file or
/// offset.
#[test]
fn every_flipped_byte_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    run(folder.path(), STEPS);
    for path in files(folder.path(), "").into_iter().filter(|p| !p.ends_with("lock")) {
        let bytes = fs::read(&path).unwrap();
        let file = File::options().write(true).open(&path).unwrap();
        for (at, byte) in bytes.iter().enumerate() {
            file.write_all_at(&[byte ^ 1 << (at % 8)], at as u64).unwrap();
            match open_small(folder.path(), no_sync_ops()) {
                Err(StorageError::Damaged { file, offset, .. }) => {
                    assert_eq!(*file, *path, "flip at {at}");
                    assert!(offset.get() <= at as u64, "flip at {at}, reported at {offset}");
                }
                other => panic!("flip at {at} of {}: {:?}", path.display(), other.map(|_| ())),
            }
            file.write_all_at(&[*byte], at as u64).unwrap();
        }
    }
    assert!(open_small(folder.path(), FileOps::system()).is_ok());
}

/// Returns the offsets of the batches of a segment.
fn batch_offsets(segment: &[u8]) -> Vec<usize> {
    let is_batch = |at: &usize| segment[*at..].starts_with(&0x4253_6d31_u32.to_le_bytes());
    (0..segment.len()).filter(is_batch).collect()
}

/// Guards against rejecting a torn tail, against truncating an earlier batch with it, and against accepting a
/// segment without its first batch.
#[test]
fn torn_tail_is_truncated_at_every_length() {
    for steps in [&[HardState(1, 1), Append(1, 5, 1), Append(4, 9, 2)], STEPS] {
        let folder = tempfile::tempdir().unwrap();
        run(folder.path(), steps);
        let last = files(folder.path(), "wal-").pop().unwrap();
        let starts = batch_offsets(&fs::read(&last).unwrap());
        let models = models(steps);
        for length in 0..=fs::metadata(&last).unwrap().len() as usize {
            let torn = copy(folder.path());
            let file =
                File::options().write(true).open(torn.path().join(last.file_name().unwrap()));
            file.unwrap().set_len(length as u64).unwrap();
            let whole_batches = starts[1..].iter().filter(|start| **start <= length).count();
            let complete = length == fs::metadata(&last).unwrap().len() as usize;
            match open_small(torn.path(), no_sync_ops()) {
                Ok((_, found)) => {
                    let missing = starts.len() - whole_batches - usize::from(complete);
                    assert_eq!(Model::of(&found), models[steps.len() - missing], "length {length}");
                    assert!(whole_batches > 0, "length {length}: the first batch is truncated");
                }
                // A segment is renamed to its final name after the sync of its first batch, which therefore
                // cannot be torn.
                Err(StorageError::Damaged { .. }) => {
                    assert_eq!(whole_batches, 0, "length {length}")
                }
                Err(e) => panic!("length {length}: {e}"),
            }
        }
    }
}

/// Returns the expected states before the first step and after each step.
fn models(steps: &[Step]) -> Vec<Model> {
    let mut models = vec![Model::default()];
    for step in steps {
        let mut next = models[models.len() - 1].clone();
        next.apply(*step);
        models.push(next);
    }
    models
}

struct Damage {
    name: &'static str,
    inflict: fn(&Path),
    message: &'static str,
}

fn remove(folder: &Path, prefix: &str, nth: usize) {
    fs::remove_file(&files(folder, prefix)[nth]).unwrap();
}

const DAMAGES: &[Damage] = &[
    Damage {
        name: "no identity",
        inflict: |f| remove(f, "identity", 0),
        message: "lacks its identity",
    },
    Damage {
        name: "no log",
        inflict: |f| files(f, "wal-").iter().for_each(|p| fs::remove_file(p).unwrap()),
        message: "lacks its log",
    },
    Damage {
        name: "no first segment",
        inflict: |f| remove(f, "wal-", 0),
        message: "lacks the log entries",
    },
    Damage {
        name: "no middle segment",
        inflict: |f| remove(f, "wal-", 1),
        message: "lacks segment",
    },
    Damage {
        name: "no snapshot",
        inflict: |f| remove(f, "snapshot-", 0),
        message: "lacks the snapshot at 10",
    },
    Damage {
        name: "no snapshot, and its log deleted",
        inflict: |f| {
            run(f, &[Snapshot(52, 3), Append(53, 75, 3)]);
            run(f, &[]);
            remove(f, "snapshot-", 0);
        },
        message: "lacks the snapshot at 52",
    },
    Damage {
        name: "snapshot under another name",
        inflict: |f| {
            let snapshot = &files(f, "snapshot-")[0];
            fs::rename(snapshot, f.join("snapshot-00000000000000000011")).unwrap();
        },
        message: "another index than the file name",
    },
    Damage {
        name: "segment of another replica",
        inflict: |f| {
            let other = tempfile::tempdir().unwrap();
            run(other.path(), STEPS);
            let from = files(other.path(), "wal-");
            fs::copy(&from[0], &files(f, "wal-")[0]).unwrap();
        },
        message: "belongs to replica",
    },
    Damage {
        name: "short middle segment",
        inflict: |f| {
            let file = File::options().write(true).open(&files(f, "wal-")[0]).unwrap();
            file.set_len(file.metadata().unwrap().len() - 1).unwrap();
        },
        message: "longer than the file",
    },
    Damage {
        name: "zeros before a later batch",
        inflict: |f| {
            let last = files(f, "wal-").pop().unwrap();
            let bytes = fs::read(&last).unwrap();
            let file = File::options().write(true).open(last).unwrap();
            let [.., before, last] = batch_offsets(&bytes)[..] else { panic!("too few batches") };
            file.write_all_at(&vec![0; last - before], before as u64).unwrap();
        },
        message: "is damaged at byte",
    },
];

/// Guards against accepting a folder with missing files or files of another replica, and against a repaired
/// folder that keeps its old identity or is reported as new.
#[test]
fn damage_is_refused_until_repair_makes_a_new_identity() {
    for Damage { name, inflict, message } in DAMAGES {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path();
        let old = run(path, STEPS).identity;
        assert!(matches!(repair(path), Err(StorageError::NotDamaged { .. })), "{name}");
        inflict(path);
        for attempt in 0..2 {
            let e = open(path).err().unwrap_or_else(|| panic!("{name}: attempt {attempt}"));
            assert!(e.to_string().contains(message), "{name}: {e}");
        }
        let set_aside = repair(path).unwrap();
        assert!(!files(&set_aside, "").is_empty(), "{name}");
        let recovered = run(path, &STEPS[..2]);
        assert_ne!(recovered.identity, old, "{name}");
        assert!(!recovered.is_new, "{name}");
        assert_eq!(Model::of(&recovered), Model::default(), "{name}");
        assert!(matches!(repair(path), Err(StorageError::NotDamaged { .. })), "{name}");
    }
}

/// Guards against an interrupted repair or creation after which the folder has its old identity again.
#[test]
fn interrupted_repair_and_creation_are_completed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    let old = run(path, STEPS).identity;
    let set_aside = path.join("set-aside");
    fs::create_dir(&set_aside).unwrap();
    fs::rename(path.join("identity"), set_aside.join("identity")).unwrap();
    assert!(matches!(open(path), Err(StorageError::Missing { .. })));
    repair(path).unwrap();
    assert!(
        set_aside.join("identity").exists(),
        "the second repair removed the identity moved by the first"
    );
    let second = run(path, &[]);
    assert!(!second.is_new && second.identity != old);
    fs::remove_file(path.join("identity")).unwrap();
    fs::write(path.join("snapshot-00000000000000000001.tmp"), "").unwrap();
    let third = run(path, &[]);
    assert!(third.identity != second.identity, "the identity of an interrupted creation was used");
    assert!(files(path, "snapshot-").is_empty(), "the temporary file was not removed");
}

/// Guards against a read error of the device (EIO) that is not reported as corruption.
#[test]
fn unreadable_file_is_damage() {
    let folder = tempfile::tempdir().unwrap();
    run(folder.path(), STEPS);
    let mut ops = FileOps::system();
    ops.read = Box::new(|_| Err(std::io::Error::from_raw_os_error(5)));
    let refused = open_small(folder.path(), ops).err().unwrap();
    assert!(matches!(refused, StorageError::Damaged { .. }), "{refused}");
}
