//! Disks that fail, are opened again by the same process, fail again and lose power, in any order.
//!
//! `MASTICSTAIR_RETURNS` sets the number of runs and `MASTICSTAIR_FIRST_SEED` the first seed.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a failure must end the test")]

mod storage_support;

use masticstair_store::storage::{Recovered, StorageHandle};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::path::Path;
use storage_support::Step::{Append, HardState, Snapshot};
use storage_support::faulty_disk::{Disk, Fault, PowerLoss, SharedDisk, faulty_ops, lose_power};
use storage_support::{Model, Step, call, open_small, wait};

/// The states that recovery may find: one after a success, two after a failed call.
type Expected = Vec<Model>;

/// Guards against acknowledged entries, terms and votes that are lost when a process opens its folder again after a
/// storage fault, and against contents that the first recovery found and a later one does not.
#[test]
fn reopened_folders_keep_what_was_acknowledged() {
    let first = number("MASTICSTAIR_FIRST_SEED", 1);
    let mut totals = [0; 3];
    for seed in first..first + number("MASTICSTAIR_RETURNS", 300) {
        let counts = run(seed);
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
    }
    let [failed_calls, failed_opens, power_losses] = totals;
    println!(
        "{failed_calls} failed calls, {failed_opens} failed opens, {power_losses} power losses"
    );
    assert!(totals.iter().all(|count| *count > 0), "the faults are too few to tell anything");
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().unwrap())
}

/// Runs one series of faults; returns the numbers of failed calls, failed opens and power losses.
fn run(seed: u64) -> [u64; 3] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::failing_at(0);
    let mut expected = vec![Model::default()];
    let [mut failed_calls, mut failed_opens, mut power_losses] = [0; 3];
    for round in 0..12 {
        let name = format!("seed {seed}, round {round}");
        plan_fault(&mut rng, &disk, 0.4);
        let Some((storage, recovered)) = open(&mut rng, folder.path(), &disk) else {
            failed_opens += 1;
            power_losses += u64::from(draw_power_loss(&mut rng, folder.path(), &disk));
            continue;
        };
        let found = Model::of(&recovered);
        assert!(expected.contains(&found), "{name}: {found:?} not in {expected:?}");
        plan_fault(&mut rng, &disk, 0.8);
        expected = run_calls(&mut rng, &storage, found);
        failed_calls += u64::from(expected.len() == 2);
        wait(storage.close()).unwrap();
        power_losses += u64::from(draw_power_loss(&mut rng, folder.path(), &disk));
    }
    disk.lock().unwrap().fail_at = 0;
    lose_power(folder.path(), &disk, PowerLoss::All);
    let (storage, recovered) = open_small(folder.path(), faulty_ops(&disk, Fault::Full)).unwrap();
    wait(storage.close()).unwrap();
    let found = Model::of(&recovered);
    assert!(expected.contains(&found), "seed {seed}, at the end: {found:?} not in {expected:?}");
    [failed_calls, failed_opens, power_losses]
}

/// Selects one of the next operations to fail, or none.
fn plan_fault(rng: &mut SmallRng, disk: &SharedDisk, share: f64) {
    let fails = rng.random_bool(share);
    let mut disk = disk.lock().unwrap();
    disk.fail_at = if fails { disk.count + rng.random_range(1..25) } else { 0 };
}

fn open(
    rng: &mut SmallRng,
    folder: &Path,
    disk: &SharedDisk,
) -> Option<(StorageHandle, Recovered)> {
    let fault = if rng.random_bool(0.5) { Fault::Full } else { Fault::Partial };
    open_small(folder, faulty_ops(disk, fault)).ok()
}

fn draw_power_loss(rng: &mut SmallRng, folder: &Path, disk: &SharedDisk) -> bool {
    let losses = [PowerLoss::All, PowerLoss::Half, PowerLoss::Zeros, PowerLoss::LaterSectors];
    let loses = rng.random_bool(0.3);
    if loses {
        lose_power(folder, disk, losses[rng.random_range(0..losses.len())]);
    }
    loses
}

/// Runs calls until one fails; returns the states that recovery may find.
fn run_calls(rng: &mut SmallRng, storage: &StorageHandle, found: Model) -> Expected {
    let mut model = found;
    for _ in 0..rng.random_range(1..20) {
        let step = draw_step(rng, &model);
        let mut after = model.clone();
        after.apply(step);
        if wait(call(storage, step)).is_err() {
            return vec![model, after];
        }
        model = after;
    }
    vec![model]
}

fn draw_step(rng: &mut SmallRng, model: &Model) -> Step {
    let (start, term) = (model.snapshot.0, model.hard_state.term.get());
    let last = model.entries.last().map_or(start, |e| e.index.get());
    match rng.random_range(0..10) {
        0..=1 => HardState(term + 1, rng.random_range(0..3)),
        2 if last > start => {
            let index = rng.random_range(start + 1..=last);
            let entry = model.entries.iter().find(|e| e.index.get() == index).unwrap();
            Snapshot(index, entry.term.get())
        }
        3 if last > start => {
            let first = rng.random_range(start + 1..=last);
            Append(first, first + rng.random_range(0..4), term + 1)
        }
        _ => Append(last + 1, last + rng.random_range(1..8), term + 1),
    }
}
