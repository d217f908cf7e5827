//! Tests of the storage calls: rejected calls, group commit, compaction, identity and lock.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a failure must end the test")]

mod storage_support;

use futures_util::future::join_all;
use masticstair_core::message::{EntryPayload, SnapshotMeta};
use masticstair_store::storage::{FileOps, StorageError, open};
use std::fs;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::task::{Context, Waker};
use std::thread;
use std::time::Duration;
use storage_support::Step::{Append, HardState, Snapshot};
use storage_support::{
    Model, Step, call, data, entries, files, meta, no_sync_ops, open_small, run, wait,
};

struct Refusal {
    name: &'static str,
    step: Step,
    message: &'static str,
}

const REFUSALS: &[Refusal] = &[
    Refusal {
        name: "gap",
        step: Append(12, 12, 2),
        message: "entry 12 does not follow the last entry 10",
    },
    Refusal { name: "index 0", step: Append(0, 0, 2), message: "entry 0 is already part" },
    Refusal {
        name: "covered",
        step: Append(5, 11, 2),
        message: "entry 5 is already part of the snapshot at 5",
    },
    Refusal {
        name: "term falls",
        step: HardState(1, 1),
        message: "term 1 contradicts the saved one of term 2",
    },
    Refusal { name: "second vote", step: HardState(2, 2), message: "contradicts" },
    Refusal { name: "withdrawn vote", step: HardState(2, 0), message: "contradicts" },
    Refusal {
        name: "stale snapshot",
        step: Snapshot(5, 1),
        message: "snapshot at 5 does not reach beyond",
    },
];

/// Guards against accepting calls that would break the log, and against a rejected call that changes the
/// contents or makes later calls fail.
#[test]
fn rejected_calls_change_nothing() {
    let folder = tempfile::tempdir().unwrap();
    run(folder.path(), &[HardState(2, 1), Append(1, 10, 1), Snapshot(5, 1)]);
    let (storage, before) = open_small(folder.path(), FileOps::system()).unwrap();
    for Refusal { name, step, message } in REFUSALS {
        let e = wait(call(&storage, *step)).expect_err(name);
        assert!(e.to_string().contains(message), "{name}: {e}");
    }
    let large = |size: usize| EntryPayload::Command(vec![0; size].into());
    for (size, count) in [(18 << 20 | 1, 1), (7 << 20, 3)] {
        let mut large_entries = entries(11, 10 + count, 2);
        large_entries.iter_mut().for_each(|e| e.payload = large(size));
        let refused = wait(storage.append(large_entries));
        assert!(matches!(refused, Err(StorageError::TooLarge { .. })), "{size}: {refused:?}");
    }
    let wrong_size = wait(storage.save_snapshot(meta(9, 1), data(9)[1..].into()));
    assert!(matches!(wrong_size, Err(StorageError::SnapshotSize { .. })), "{wrong_size:?}");
    wait(storage.append(vec![])).unwrap();
    wait(storage.close()).unwrap();
    assert_eq!(wait(storage.append(vec![])), Err(StorageError::Closed));
    assert_eq!(run(folder.path(), &[]), before);
}

/// Guards against a separate sync for each call, and against completing a call before its sync.
#[test]
fn waiting_calls_share_a_sync() {
    let folder = tempfile::tempdir().unwrap();
    let (opened, gate) = mpsc::channel::<()>();
    let syncs = Arc::new(AtomicU64::new(0));
    let mut ops = FileOps::system();
    let (mut sync, count) = (ops.sync, syncs.clone());
    ops.sync = Box::new(move |f| {
        // The first three syncs belong to the creation of the folder.
        if count.fetch_add(1, Ordering::SeqCst) >= 3 {
            gate.recv().unwrap();
        }
        sync(f)
    });
    let (storage, _) = open_small(folder.path(), ops).unwrap();
    assert_eq!(syncs.load(Ordering::SeqCst), 3);
    let mut calls: Vec<_> = (1..=300).map(|i| Box::pin(call(&storage, Append(i, i, 1)))).collect();
    let mut cx = Context::from_waker(Waker::noop());
    let answered = |c: &mut _| Future::poll(std::pin::Pin::as_mut(c), &mut cx).is_ready();
    assert_eq!(
        calls.iter_mut().map(answered).filter(|a| *a).count(),
        0,
        "completed before the sync"
    );
    let wake = thread::spawn(move || while opened.send(()).is_ok() {});
    assert!(wait(join_all(calls)).into_iter().all(|r| r.is_ok()));
    wait(storage.close()).unwrap();
    wake.join().unwrap();
    // One sync for the first commit group, one or two for the calls that arrive meanwhile, and at most two
    // for a new segment.
    let shared = syncs.load(Ordering::SeqCst) - 3;
    assert!((1..=5).contains(&shared), "{shared} syncs for 300 calls");
    assert_eq!(run(folder.path(), &[]).entries, entries(1, 300, 1));
}

/// Guards against lost or reordered calls when the handle is used from other threads and runtimes.
#[test]
fn handles_work_on_any_thread() {
    let folder = tempfile::tempdir().unwrap();
    let (storage, _) = open(folder.path()).unwrap();
    for index in 1..=8 {
        let storage = storage.clone();
        let task = thread::spawn(move || wait(call(&storage, Append(index, index, 1))));
        task.join().unwrap().unwrap();
    }
    wait(storage.close()).unwrap();
    assert_eq!(run(folder.path(), &[]).entries, entries(1, 8, 1));
}

/// Guards against disk use that grows with the number of entries, and against deleting entries that no
/// snapshot covers.
#[test]
fn compaction_bounds_disk_use() {
    let folder = tempfile::tempdir().unwrap();
    let (storage, _) = open_small(folder.path(), FileOps::system()).unwrap();
    let mut model = Model::default();
    for round in 0..50 {
        let (first, last) = (round * 20 + 1, round * 20 + 20);
        // The hard state starts a new segment, so that the snapshot can delete the previous one.
        let snapshot = Snapshot(last - round % 6, 1);
        for step in [Append(first, last, 1), HardState(round + 1, 0), snapshot] {
            wait(call(&storage, step)).unwrap();
            model.apply(step);
        }
        // A round writes less than 8,000 bytes, and a segment has at most 2,000 bytes plus one batch.
        let used: u64 =
            files(folder.path(), "").iter().map(|f| fs::metadata(f).unwrap().len()).sum();
        assert!(used < 3 * 8_000, "round {round}: {used} bytes");
        assert_eq!(files(folder.path(), "snapshot-").len(), 1, "round {round}");
    }
    wait(storage.close()).unwrap();
    assert_eq!(Model::of(&run(folder.path(), &[])), model);
}

/// Guards against appends that are blocked until a large snapshot is written: each append must complete
/// within three syncs, although the snapshot needs 200.
#[test]
fn appends_overtake_a_large_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let (allow, gate) = mpsc::channel();
    // Three syncs for the creation of the folder and one for the first append.
    (0..4).for_each(|_| allow.send(()).unwrap());
    let mut ops = no_sync_ops();
    // Once the sender is dropped, syncs return immediately.
    ops.sync = Box::new(move |_| {
        let _ = gate.recv();
        Ok(())
    });
    let (storage, _) = open_small(folder.path(), ops).unwrap();
    wait(call(&storage, Append(1, 5, 1))).unwrap();
    let large = SnapshotMeta { size: 200 * 64, ..meta(5, 1) };
    let mut snapshot = Box::pin(storage.save_snapshot(large, vec![1; 200 * 64].into()));
    assert!(!is_answered(&mut snapshot));
    for index in 6..=15 {
        let mut append = Box::pin(call(&storage, Append(index, index, 1)));
        let answered = is_answered(&mut append);
        (0..3).for_each(|_| allow.send(()).unwrap());
        let in_time = answered
            || (0..1000).any(|_| {
                thread::sleep(Duration::from_millis(10));
                is_answered(&mut append)
            });
        assert!(in_time, "append {index} waits for the snapshot");
    }
    assert!(!is_answered(&mut snapshot));
    drop(allow);
    wait(snapshot).unwrap();
    wait(storage.close()).unwrap();
    assert_eq!(run(folder.path(), &[]).entries, entries(6, 15, 1));
}

fn is_answered(call: &mut Pin<Box<impl Future>>) -> bool {
    call.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// Guards against an overwritten tail of the log that recovery finds again, for each position in a segment.
#[test]
fn overwritten_tail_stays_overwritten() {
    for from in 1..=40 {
        let folder = tempfile::tempdir().unwrap();
        let mut steps: Vec<_> = (0..10).map(|n| Append(n * 4 + 1, n * 4 + 4, 1)).collect();
        steps.push(Append(from, from, 2));
        run(folder.path(), &steps);
        let mut expected = entries(1, from - 1, 1);
        expected.extend(entries(from, from, 2));
        assert_eq!(run(folder.path(), &[]).entries, expected, "overwritten from {from}");
        // The same after a restart, and with a snapshot directly before the overwritten entries.
        let steps =
            [Snapshot(from, 2), Append(from + 1, from + 9, 2), Append(from + 1, from + 1, 3)];
        run(folder.path(), &steps);
        let found = run(folder.path(), &[]);
        assert_eq!(
            found.entries,
            entries(from + 1, from + 1, 3),
            "overwritten from {from} after a snapshot"
        );
    }
}

/// Guards against two processes using one folder, an identity that changes, and a used folder that is
/// reported as new.
#[test]
fn identity_and_lock_belong_to_the_folder() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("a/b");
    let (storage, first) = open(&folder).unwrap();
    assert!(matches!(open(&folder), Err(StorageError::Locked { .. })));
    wait(storage.close()).unwrap();
    let second = run(&folder, &[]);
    assert!(first.is_new && second.is_new, "a folder without content is new");
    let third = run(&folder, &[HardState(1, 1)]);
    let fourth = run(&folder, &[]);
    assert!(!fourth.is_new, "a saved vote means that the folder is not new");
    assert!([second, third, fourth].iter().all(|r| r.identity == first.identity));
    let other = run(&parent.path().join("c"), &[]);
    assert!(other.identity != first.identity && other.entries.is_empty());
}

/// Guards against a failed start when several hosts create their common parent folder at the same time.
#[test]
fn folders_with_a_common_parent_can_be_created_concurrently() {
    for _ in 0..50 {
        let root = tempfile::tempdir().unwrap();
        let threads: Vec<_> = (0..4)
            .map(|i| {
                let folder = root.path().join("data").join("deployment").join(format!("h{i}"));
                std::thread::spawn(move || open(&folder).map(|_| ()))
            })
            .collect();
        for thread in threads {
            thread.join().unwrap().unwrap();
        }
    }
}
