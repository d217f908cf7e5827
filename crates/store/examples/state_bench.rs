//! Benchmark of the replicated state: claims per second, memory per record, snapshots and bundles.
//!
//! Run with `cargo run --release -p masticstair-store --example state_bench`. Commands are
//! applied in their encoded form, as from the log. Memory is the growth of the resident set of the process.

#[path = "../../policy/tests/support/mod.rs"]
#[allow(clippy::unwrap_used, dead_code)]
mod support;

use masticstair_core::bundle::{Bundle, Right};
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{BundleAction, BundleReply, ContentChange};
use masticstair_policy::run_once::{
    CallKey, Claim, Claimant, RecordedAnswer, RunOnceCommand, RunOnceReply,
};
use masticstair_store::state::{Command, Query, ReplicatedState, Reply};
use std::error::Error;
use std::sync::Arc;
use std::time::Instant;
use support::{Operator, bundle_text, deployment};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// The two states and the encoded commands that a measurement allocated.
type RunOnceMeasurement = (ReplicatedState, ReplicatedState, Vec<Box<[u8]>>, Vec<Box<[u8]>>);

const NOW_MS: u64 = 1_800_000_000_000;
const DAY_MS: u64 = 86_400_000;
const ANSWER_BYTES: usize = 256;

fn main() -> Result<()> {
    // Keep everything allocated until the last size: reusing freed memory would hide the growth of the
    // resident set.
    let mut kept = Vec::new();
    for records in [1_000, 10_000, 200_000] {
        kept.push(measure_run_once(records)?);
    }
    drop(kept);
    for accounts in [5, 1_000, 37_000] {
        measure_bundle(accounts)?;
    }
    measure_history(37_000)
}

/// Measures claims, results and snapshots. Returns everything allocated, so that the caller can keep it.
fn measure_run_once(records: u32) -> Result<RunOnceMeasurement> {
    let mut state = new_state();
    roll_out(&mut state, 0, &bundle_text("v1", &[&anna()], 5))?;
    let commands = |make: fn(u32) -> Result<Command>| -> Result<Vec<Box<[u8]>>> {
        (0..records).map(|i| Ok(make(i)?.encode())).collect()
    };
    let (claims, results) = (commands(claim)?, commands(finish)?);
    let before = resident_bytes()?;
    let claim_time = apply_all(&mut state, &claims, &RunOnceReply::Granted)?;
    let claimed = resident_bytes()?;
    let finish_time = apply_all(&mut state, &results, &RunOnceReply::Recorded)?;
    let finished = resident_bytes()?;

    let started = Instant::now();
    let snapshot = state.snapshot();
    let snapshot_time = started.elapsed();
    let mut other = new_state();
    let started = Instant::now();
    other.restore(&snapshot)?;
    let restore_time = started.elapsed();

    let per_record = |bytes: u64| bytes / u64::from(records);
    println!(
        "run-once {records:>7} records: {:>9.0} claims/s, {:>9.0} results/s ({ANSWER_BYTES} bytes each), \
         {:>4} bytes/claimed record, {:>4} bytes/finished record",
        f64::from(records) / claim_time,
        f64::from(records) / finish_time,
        per_record(claimed.saturating_sub(before)),
        per_record(finished.saturating_sub(before)),
    );
    println!(
        "run-once {records:>7} records: snapshot {:.1} ms, {} bytes ({} bytes/record), restore {:.1} ms",
        snapshot_time.as_secs_f64() * 1e3,
        snapshot.len(),
        per_record(snapshot.len() as u64),
        restore_time.as_secs_f64() * 1e3,
    );
    measure_expiry(&mut state, records);
    Ok((state, other, claims, results))
}

/// Measures the second raise of the floor, which expires records up to the limit of one raise; the first
/// raise only sets the floor.
fn measure_expiry(state: &mut ReplicatedState, records: u32) {
    let now = WallTime::new(NOW_MS + 8 * DAY_MS);
    let raise = Command::RunOnce(RunOnceCommand::RaiseFloor { now }).encode();
    state.apply_encoded(&raise);
    let started = Instant::now();
    state.apply_encoded(&raise);
    let took = started.elapsed().as_secs_f64() * 1e3;
    println!("run-once {records:>7} records: a raise that expires up to 1024 records {took:.2} ms");
}

fn measure_bundle(accounts: usize) -> Result<()> {
    let text = bundle_text("v1", &[&anna()], accounts);
    let started = Instant::now();
    text.parse::<Bundle>()?;
    let parse_ms = started.elapsed().as_secs_f64() * 1e3;

    let mut state = new_state();
    let [submit_ms, _, roll_ms] = roll_out(&mut state, 0, &text)?;
    let started = Instant::now();
    let answer = state.query_encoded(&Query::InForce.encode());
    let query_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let snapshot = state.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    new_state().restore(&snapshot)?;
    let restore_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "bundle {accounts:>6} accounts: {} bytes, parse {parse_ms:.2} ms, submit {submit_ms:.2} ms, \
         roll {roll_ms:.2} ms, in-force answer {} bytes in {query_ms:.2} ms, snapshot {} bytes in \
         {snapshot_ms:.2} ms, restore {restore_ms:.2} ms",
        text.len(),
        answer.len(),
        snapshot.len(),
    );
    Ok(())
}

/// Measures the snapshot of 64 revisions that differ in their version and in one account each.
fn measure_history(accounts: usize) -> Result<()> {
    let mut state = new_state();
    let text = bundle_text("v0", &[&anna()], accounts);
    for i in 0..64_usize {
        let version = text.replacen("\"v0\"", &format!("\"v{i}\""), 1);
        let account = format!("account-{:05}", i * 577);
        let version = version.replacen(&account, &format!("changed-{i:05}"), 1);
        roll_out(&mut state, i as u64, &version)?;
    }
    measure_change(&mut state)?;
    let started = Instant::now();
    let snapshot = state.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "history of 64 bundles of {} bytes: snapshot {} bytes in {snapshot_ms:.1} ms",
        text.len(),
        snapshot.len(),
    );
    Ok(())
}

/// Measures a submit that is sent as a change of the contents in force, with the bundle parsed beforehand as
/// on another thread.
fn measure_change(state: &mut ReplicatedState) -> Result<()> {
    let base = state.in_force().ok_or("no bundle is in force")?.content;
    let new = base.replacen("\"v63\"", "\"change\"", 1).replacen("account-20000", "changed", 1);
    let started = Instant::now();
    let change = ContentChange::between(&base, &new);
    let make_ms = started.elapsed().as_secs_f64() * 1e3;
    let command = anna().command("change", 64, BundleAction::SubmitChange(change));
    let command = Command::Bundle(Box::new(command)).encode();
    state.set_preparsed_bundle(Arc::new(new.parse::<Bundle>()?));
    let started = Instant::now();
    let reply = Reply::decode(&state.apply_encoded(&command))?;
    let submit_ms = started.elapsed().as_secs_f64() * 1e3;
    if !matches!(reply, Reply::Bundle(BundleReply::Submitted { .. })) {
        return Err(format!("the change got the reply {reply:?}").into());
    }
    println!(
        "change of one account in {} bytes: command {} bytes, made in {make_ms:.1} ms, submit of a \
         preparsed bundle {submit_ms:.1} ms",
        base.len(),
        command.len(),
    );
    Ok(())
}

fn anna() -> Operator {
    Operator::new("anna", 1)
}

fn new_state() -> ReplicatedState {
    let all = [Right::Submit, Right::SignOff, Right::Roll];
    ReplicatedState::new(deployment(), [anna().signer(&all)].into())
}

/// Submits, signs off and rolls a bundle; returns the duration of each command in milliseconds.
fn roll_out(state: &mut ReplicatedState, expected: u64, text: &str) -> Result<[f64; 3]> {
    let digest = Sha256Digest::of(text.as_bytes());
    let submit = BundleAction::Submit(text.into());
    let actions = [submit, BundleAction::SignOff(digest), BundleAction::Roll(digest)];
    let times = actions.map(|action| {
        let id = format!("{expected}-{}", action.right());
        let command = Command::Bundle(Box::new(anna().command(&id, expected, action))).encode();
        let started = Instant::now();
        state.apply_encoded(&command);
        started.elapsed().as_secs_f64() * 1e3
    });
    match state.revision().get() {
        revision if revision == expected + 1 => Ok(times),
        revision => Err(format!("revision {revision} instead of {}", expected + 1).into()),
    }
}

fn call(i: u32) -> Result<CallKey> {
    let ms = NOW_MS + u64::from(i % 1_000);
    let key = format!("{:08x}-{:04x}-7000-8000-{i:012x}", ms >> 16, ms & 0xffff);
    Ok(CallKey { account: format!("account-{:05}", i % 5).parse()?, key: key.parse()? })
}

fn request(i: u32) -> RequestId {
    RequestId::from_bytes((u128::from(i) << 64 | 1).to_be_bytes())
}

fn claim(i: u32) -> Result<Command> {
    let claimant = Claimant {
        host: format!("host-{}.ee-north", i % 8).parse()?,
        incarnation: Incarnation::new(NOW_MS),
        deadline: Millis::new(11_000),
        proposed_at: WallTime::new(NOW_MS),
    };
    let body = Sha256Digest::of(&i.to_be_bytes());
    let claim = Claim { call: call(i)?, body, request: request(i), claimant };
    Ok(Command::RunOnce(RunOnceCommand::Claim(Box::new(claim))))
}

fn finish(i: u32) -> Result<Command> {
    let answer = RecordedAnswer::Kept([b'a'; ANSWER_BYTES].into());
    let (call, request) = (call(i)?, request(i));
    Ok(Command::RunOnce(RunOnceCommand::Finish { call, request, answer }))
}

/// Applies commands that must all get the same reply; returns the duration in seconds.
fn apply_all(
    state: &mut ReplicatedState,
    commands: &[Box<[u8]>],
    reply: &RunOnceReply,
) -> Result<f64> {
    let expected = Reply::RunOnce(reply.clone()).encode();
    let started = Instant::now();
    let others = commands.iter().filter(|cmd| state.apply_encoded(cmd) != expected).count();
    let seconds = started.elapsed().as_secs_f64();
    if others > 0 {
        return Err(format!("{others} commands had another reply than {reply:?}").into());
    }
    Ok(seconds)
}

/// Returns the resident set size of this process in bytes.
fn resident_bytes() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kilobytes * 1_024)
}
