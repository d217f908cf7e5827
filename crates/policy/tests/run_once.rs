//! Each row of the table in section 4.1 of the design page, and the limits of the run-once table.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::run_once::{
    CallKey, CallStatus, Claim, Claimant, MAX_FLOOR_STEP, RecordedAnswer, RunOnceBound,
    RunOnceCommand, RunOnceLimits, RunOnceReply, RunOnceTable,
};

const NOW: u64 = 1_800_000_000_000;
const DAY: u64 = 86_400_000;

struct Case {
    name: &'static str,
    before: Vec<RunOnceCommand>,
    cmd: RunOnceCommand,
    reply: RunOnceReply,
}

fn limits() -> RunOnceLimits {
    RunOnceLimits {
        retention: Millis::new(DAY),
        max_records: 3,
        max_answer_size: ByteCount::new(8),
        max_expired_keys: 2,
    }
}

fn call(key: &str) -> CallKey {
    CallKey { account: "acme".parse().unwrap(), key: key.parse().unwrap() }
}

fn request(n: u8) -> RequestId {
    RequestId::from_bytes([n; 16])
}

/// Returns a UUIDv7 key with this timestamp.
fn v7(ms: u64) -> String {
    format!("{:08x}-{:04x}-7000-8000-000000000000", ms >> 16, ms & 0xffff)
}

fn claimant() -> Claimant {
    Claimant {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        deadline: Millis::new(11_000),
        proposed_at: WallTime::new(NOW),
    }
}

fn claim_body(key: &str, n: u8, body: &str) -> RunOnceCommand {
    let (call, request, claimant) = (call(key), request(n), claimant());
    let body = Sha256Digest::of(body.as_bytes());
    RunOnceCommand::Claim(Box::new(Claim { call, body, request, claimant }))
}

fn claim(key: &str, n: u8) -> RunOnceCommand {
    claim_body(key, n, "body")
}

fn kept(answer: &str) -> RecordedAnswer {
    RecordedAnswer::Kept(answer.as_bytes().into())
}

fn finish(key: &str, n: u8, answer: &str) -> RunOnceCommand {
    RunOnceCommand::Finish { call: call(key), request: request(n), answer: kept(answer) }
}

fn fail(key: &str, n: u8, answer: &str) -> RunOnceCommand {
    RunOnceCommand::Fail { call: call(key), request: request(n), answer: kept(answer) }
}

fn release(key: &str, n: u8) -> RunOnceCommand {
    let proposed_at = WallTime::new(NOW);
    RunOnceCommand::Release { call: call(key), request: request(n), proposed_at }
}

fn orphan(key: &str, n: u8) -> RunOnceCommand {
    RunOnceCommand::ReportOrphaned { call: call(key), request: request(n) }
}

fn raise(now: u64) -> RunOnceCommand {
    RunOnceCommand::RaiseFloor { now: WallTime::new(now) }
}

fn running(n: u8) -> RunOnceReply {
    RunOnceReply::Found(CallStatus::Running { request: request(n), claimant: claimant() })
}

fn done(answer: &str) -> RunOnceReply {
    RunOnceReply::Found(CallStatus::Done(kept(answer)))
}

#[rustfmt::skip]
fn state_cases() -> Vec<Case> {
    use RunOnceReply::{BodyConflict, Found, Granted, NoRecord, NotClaimant, Recorded};
    let large = "nine bytes, or more";
    let omitted = RecordedAnswer::bounded(large.as_bytes(), limits().max_answer_size);
    let v7 = v7(NOW);
    vec![
        Case { name: "none", before: vec![], cmd: claim("k", 1), reply: Granted },
        Case { name: "none, timed key", before: vec![], cmd: claim(&v7, 1), reply: Granted },
        Case { name: "claim resent", before: vec![claim("k", 1)], cmd: claim("k", 1), reply: Granted },
        Case { name: "claimed", before: vec![claim("k", 1)], cmd: claim("k", 2), reply: running(1) },
        Case { name: "orphan reported", before: vec![claim("k", 1)], cmd: orphan("k", 1), reply: Recorded },
        Case { name: "orphan of a newer claim", before: vec![claim("k", 1), release("k", 1), claim("k", 2)], cmd: orphan("k", 1), reply: running(2) },
        Case { name: "unknown", before: vec![claim("k", 1), orphan("k", 1)], cmd: claim("k", 2), reply: Found(CallStatus::Unknown) },
        Case { name: "unknown, claim resent", before: vec![claim("k", 1), orphan("k", 1)], cmd: claim("k", 1), reply: Found(CallStatus::Unknown) },
        Case { name: "result replaces unknown", before: vec![claim("k", 1), orphan("k", 1), finish("k", 1, "a")], cmd: claim("k", 2), reply: done("a") },
        Case { name: "release replaces unknown", before: vec![claim("k", 1), orphan("k", 1), release("k", 1)], cmd: claim("k", 2), reply: Granted },
        Case { name: "done", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: claim("k", 2), reply: done("a") },
        Case { name: "done, claim resent", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: claim("k", 1), reply: done("a") },
        Case { name: "done, answer too large", before: vec![claim("k", 1), finish("k", 1, large)], cmd: claim("k", 2), reply: Found(CallStatus::Done(omitted)) },
        Case { name: "failed by the endpoint", before: vec![claim("k", 1), fail("k", 1, "a")], cmd: claim("k", 2), reply: Found(CallStatus::Failed(kept("a"))) },
        Case { name: "released", before: vec![claim("k", 1), release("k", 1)], cmd: claim("k", 2), reply: Granted },
        Case { name: "released, other body", before: vec![claim("k", 1), release("k", 1)], cmd: claim_body("k", 2, "x"), reply: Granted },
        Case { name: "released, claim resent", before: vec![claim("k", 1), release("k", 1)], cmd: claim("k", 1), reply: Found(CallStatus::Released) },
        Case { name: "release before its claim", before: vec![release("k", 1)], cmd: claim("k", 1), reply: Found(CallStatus::Released) },
        Case { name: "release before its claim, other request", before: vec![release("k", 1), claim("k", 1)], cmd: claim("k", 2), reply: Granted },
        Case { name: "late finish after a new claim", before: vec![claim("k", 1), release("k", 1), claim("k", 2)], cmd: finish("k", 1, "a"), reply: NotClaimant },
        Case { name: "late release after a new claim", before: vec![claim("k", 1), release("k", 1), claim("k", 2)], cmd: release("k", 1), reply: NotClaimant },
        Case { name: "another body", before: vec![claim("k", 1)], cmd: claim_body("k", 2, "x"), reply: BodyConflict },
        Case { name: "another body, done", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: claim_body("k", 2, "x"), reply: BodyConflict },
        Case { name: "finish without a record", before: vec![], cmd: finish("k", 1, "a"), reply: NoRecord },
        Case { name: "finish by another request", before: vec![claim("k", 1)], cmd: finish("k", 2, "a"), reply: NotClaimant },
        Case { name: "finish resent", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: finish("k", 1, "a"), reply: Recorded },
        Case { name: "large finish resent", before: vec![claim("k", 1), finish("k", 1, large)], cmd: finish("k", 1, large), reply: Recorded },
        Case { name: "second finish differs", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: finish("k", 1, "b"), reply: done("a") },
        Case { name: "fail after finish", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: fail("k", 1, "a"), reply: done("a") },
        Case { name: "finish after release", before: vec![claim("k", 1), release("k", 1)], cmd: finish("k", 1, "a"), reply: Found(CallStatus::Released) },
        Case { name: "release after finish", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: release("k", 1), reply: done("a") },
        Case { name: "orphan after finish", before: vec![claim("k", 1), finish("k", 1, "a")], cmd: orphan("k", 1), reply: done("a") },
    ]
}

#[rustfmt::skip]
fn expiry_cases() -> Vec<Case> {
    use RunOnceReply::{Full, Found, Granted, KeyExpired, Recorded};
    let later = NOW + DAY + 1;
    let old = v7(NOW);
    let far = v7(NOW + 400 * DAY);
    vec![
        Case { name: "key below the floor", before: vec![raise(later)], cmd: claim(&old, 1), reply: KeyExpired },
        Case { name: "key at the floor", before: vec![raise(NOW + DAY)], cmd: claim(&old, 1), reply: Granted },
        Case { name: "done, then below the floor", before: vec![claim(&old, 1), finish(&old, 1, "a"), raise(later)], cmd: claim(&old, 2), reply: KeyExpired },
        Case { name: "expired digest", before: vec![claim("k", 1), finish("k", 1, "a"), raise(later), raise(later)], cmd: claim("k", 2), reply: KeyExpired },
        Case { name: "unknown leaves a digest", before: vec![claim("k", 1), orphan("k", 1), raise(later), raise(later)], cmd: claim("k", 2), reply: KeyExpired },
        Case { name: "release leaves no digest", before: vec![claim("k", 1), release("k", 1), raise(later), raise(later)], cmd: claim("k", 2), reply: Granted },
        Case { name: "finish of an expired key", before: vec![claim("k", 1), raise(later), raise(later)], cmd: finish("k", 1, "a"), reply: KeyExpired },
        Case { name: "release of an expired key", before: vec![claim("k", 1), raise(later), raise(later)], cmd: release("k", 1), reply: Recorded },
        Case { name: "far key leaves a digest", before: vec![claim(&far, 1), finish(&far, 1, "a"), raise(later), raise(later)], cmd: claim(&far, 2), reply: KeyExpired },
        Case { name: "records at the bound", before: vec![claim(&v7(NOW), 1), claim(&v7(NOW + 1), 2), claim(&v7(NOW + 2), 3)], cmd: claim("k", 4), reply: Full(RunOnceBound::Records) },
        Case { name: "bound, known key", before: vec![claim(&v7(NOW), 1), claim(&v7(NOW + 1), 2), claim("k", 3)], cmd: claim("k", 4), reply: running(3) },
        Case { name: "bound after expiry", before: vec![claim(&v7(NOW), 1), claim(&v7(NOW), 2), claim("j", 3), raise(later)], cmd: claim(&v7(later), 4), reply: Granted },
        Case { name: "digests at the bound", before: vec![claim("i", 1), claim("j", 2)], cmd: claim("k", 3), reply: Full(RunOnceBound::ExpiredKeys) },
        Case { name: "digests stay at the bound", before: vec![claim("i", 1), claim("j", 2), raise(later), raise(later)], cmd: claim("k", 3), reply: Full(RunOnceBound::ExpiredKeys) },
        Case { name: "digests at the bound, timed key", before: vec![claim("i", 1), claim("j", 2)], cmd: claim(&v7(NOW), 3), reply: Granted },
        Case { name: "far key at the bound of digests", before: vec![claim("i", 1), claim("j", 2)], cmd: claim(&far, 3), reply: Full(RunOnceBound::ExpiredKeys) },
        Case { name: "released again at the bound", before: vec![release("i", 1), claim("j", 2), claim("k", 3)], cmd: claim("i", 4), reply: Full(RunOnceBound::ExpiredKeys) },
        Case { name: "state is found after a raise", before: vec![claim("k", 1), release("k", 1), raise(NOW)], cmd: claim("k", 1), reply: Found(CallStatus::Released) },
    ]
}

/// Guards against a second run of a call, and against the refusal of a call that the design allows.
#[test]
fn every_row_has_its_reply() {
    for case in state_cases().into_iter().chain(expiry_cases()) {
        let mut table = RunOnceTable::new(limits());
        for cmd in &case.before {
            table.apply(cmd);
        }
        assert_eq!(table.apply(&case.cmd), case.reply, "{}", case.name);
    }
}

/// Guards against a claim that blocks the same key of another account.
#[test]
fn accounts_do_not_share_keys() {
    let mut table = RunOnceTable::new(limits());
    assert_eq!(table.apply(&claim("k", 1)), RunOnceReply::Granted);
    let RunOnceCommand::Claim(mut other) = claim("k", 2) else { unreachable!() };
    other.call.account = "other".parse().unwrap();
    assert_eq!(table.apply(&RunOnceCommand::Claim(other)), RunOnceReply::Granted);
}

/// Guards against claims that are granted before a bundle with limits is in force.
#[test]
fn claims_are_refused_before_the_first_bundle() {
    let mut table = RunOnceTable::new(RunOnceLimits::BEFORE_FIRST_BUNDLE);
    assert_eq!(table.apply(&claim("k", 1)), RunOnceReply::Full(RunOnceBound::Records));
}

/// Guards against a floor that decreases, and against a leader whose wrong clock makes all keys refused at
/// once.
#[test]
fn the_floor_rises_in_limited_steps() {
    let floor = |ms: u64| RunOnceReply::Floor(WallTime::new(ms));
    let mut table = RunOnceTable::new(limits());
    assert_eq!(table.apply(&raise(NOW)), floor(NOW - DAY), "first");
    assert_eq!(table.apply(&raise(NOW - 5)), floor(NOW - DAY), "an older clock");
    assert_eq!(table.apply(&raise(NOW + 5)), floor(NOW - DAY + 5), "a later clock");
    let step = NOW - DAY + 5 + MAX_FLOOR_STEP.get();
    assert_eq!(table.apply(&raise(NOW + 400 * DAY)), floor(step), "a wrong clock");
    table.set_limits(RunOnceLimits { retention: Millis::new(9 * DAY), ..limits() });
    assert_eq!(table.apply(&raise(NOW)), floor(step), "a longer retention");
}

/// Guards against a command that expires a whole table at once, and against records that never expire.
#[test]
fn expiry_is_spread_over_commands() {
    let mut table =
        RunOnceTable::new(RunOnceLimits { max_records: 100, max_expired_keys: 100, ..limits() });
    for i in 0..100 {
        table.apply(&claim(&format!("key-{i}"), 1));
    }
    table.apply(&raise(NOW + DAY + 1));
    assert_eq!(table.find(&call("key-7")), RunOnceReply::KeyExpired, "before its removal");
    let left = |table: &RunOnceTable| (table.records().len(), table.expired().len());
    table.apply(&claim("key-1", 2));
    assert_eq!(left(&table), (92, 8));
    table.apply(&raise(NOW));
    assert_eq!(left(&table), (0, 100));
}
