//! Fault injection: each file operation of a long run fails once, in several ways and with several kinds of
//! power loss. Guards against calls that complete before their sync, calls that succeed after a failure, and
//! states of the folder that recovery rejects or reads incorrectly.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a failure must end the test")]

mod storage_support;

use masticstair_store::storage::{Recovered, StorageError};
use std::collections::HashMap;
use std::path::Path;
use storage_support::Step::{Append, HardState, Snapshot};
use storage_support::faulty_disk::{Disk, Fault, PowerLoss, SharedDisk, faulty_ops, lose_power};
use storage_support::{Model, Step, call, open_small, wait};

const STEPS: &[Step] = &[
    HardState(1, 1),
    Append(1, 10, 1),
    Append(8, 12, 2),
    HardState(2, 0),
    Snapshot(6, 1),
    Append(13, 20, 2),
    HardState(3, 2),
    Append(15, 16, 3),
    Snapshot(16, 3),
    Append(17, 30, 3),
    Append(31, 45, 3),
    Snapshot(50, 4),
    Append(51, 60, 4),
    Snapshot(55, 9),
    Append(56, 58, 9),
];

/// Runs the steps until one fails; returns the models before and after the failed step. Recovery may find
/// either.
fn run_until_failure(folder: &Path, disk: &SharedDisk, fault: Fault, name: &str) -> [Model; 2] {
    let mut before = Model::default();
    let Ok((storage, _)) = open_small(folder, faulty_ops(disk, fault)) else {
        return [before.clone(), before];
    };
    for step in STEPS {
        let mut after = before.clone();
        after.apply(*step);
        if let Err(e) = wait(call(&storage, *step)) {
            assert!(matches!(e, StorageError::Io { .. }), "{name}: {e}");
            for step in [Append(1, 1, 1), HardState(9, 9), Snapshot(90, 9)] {
                let later = wait(call(&storage, step));
                assert!(matches!(later, Err(StorageError::Failed { .. })), "{name}: {later:?}");
            }
            wait(storage.close()).unwrap();
            return [before, after];
        }
        before = after;
    }
    wait(storage.close()).unwrap();
    [before.clone(), before]
}

/// Reopens the folder without faults, adds entries, loses power again, and checks that recovery finds them.
/// Returns the state found by the first recovery.
fn reopen(folder: &Path, disk: &SharedDisk, name: &str) -> Recovered {
    disk.lock().unwrap().fail_at = 0;
    let opened = open_small(folder, faulty_ops(disk, Fault::Full));
    let (storage, recovered) = opened.unwrap_or_else(|e| panic!("{name}: {e}"));
    let mut model = Model::of(&recovered);
    let last = model.entries.last().map_or(model.snapshot.0, |e| e.index.get());
    for step in [Append(last + 1, last + 3, 9), Append(last + 2, last + 2, 10), HardState(11, 3)] {
        wait(call(&storage, step)).unwrap_or_else(|e| panic!("{name}: {step:?}: {e}"));
        model.apply(step);
    }
    wait(storage.close()).unwrap();
    lose_power(folder, disk, PowerLoss::All);
    let (storage, again) = open_small(folder, faulty_ops(disk, Fault::Full)).unwrap();
    wait(storage.close()).unwrap();
    assert_eq!(
        Model::of(&again),
        model,
        "{name}: recovery does not find what was added after the first one"
    );
    recovered
}

#[test]
fn every_operation_fails_once() {
    let losses = [
        PowerLoss::Nothing,
        PowerLoss::All,
        PowerLoss::Half,
        PowerLoss::Zeros,
        PowerLoss::LaterSectors,
    ];
    let mut kinds = HashMap::<&str, u64>::new();
    for (fault, loss) in
        [Fault::Full, Fault::Partial].into_iter().flat_map(|f| losses.map(|l| (f, l)))
    {
        for fail_at in 1.. {
            let folder = tempfile::tempdir().unwrap();
            let disk = Disk::failing_at(fail_at);
            let name = format!("{fault:?}, {loss:?}, operation {fail_at}");
            let expected = run_until_failure(folder.path(), &disk, fault, &name);
            let failed = disk.lock().unwrap().failed;
            let later = std::mem::take(&mut disk.lock().unwrap().after_failure);
            assert!(later.is_empty(), "{name}: {later:?} ran after {failed:?} had failed");
            lose_power(folder.path(), &disk, loss);
            let found = Model::of(&reopen(folder.path(), &disk, &name));
            assert!(
                expected.contains(&found),
                "{name} ({failed:?}): {found:?} not in {expected:?}"
            );
            let Some(kind) = failed else { break };
            *kinds.entry(kind).or_default() += 1;
        }
    }
    println!("faults injected: {kinds:?}");
    for kind in ["create", "remove", "rename", "sync", "sync_folder", "write"] {
        assert!(kinds.contains_key(kind), "no {kind} failed");
    }
}
