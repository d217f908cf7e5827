//! No key runs twice under any order, loss or repetition of commands.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::run_once::{
    CallKey, Claim, Claimant, RecordedAnswer, RunOnceCommand, RunOnceLimits, RunOnceReply,
    RunOnceTable,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const NOW: u64 = 1_800_000_000_000;
const HOUR: u64 = 3_600_000;
const KEYS: [&str; 3] = ["key-a", "key-b", "01a31970-5c00-7000-8000-000000000000"];

/// A request, as the index of its key and a number. Each is one task that sends the call at most once.
type Task = (usize, u8);

#[derive(Clone, Debug)]
enum Step {
    /// Proposes a claim; it reaches the log now, or only when it is repeated.
    Claim(Task, bool),
    /// Sends the call, if the task was granted its claim and has not proposed a release.
    Send(Task),
    /// Proposes a result, if the task has sent.
    Finish(Task, bool),
    /// Proposes a release, if the task has not sent.
    Release(Task, bool),
    ReportOrphaned(Task),
    /// Applies an earlier proposal late or again.
    Repeat(prop::sample::Index),
    RaiseFloor(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let task = || (0..KEYS.len(), 0..4_u8);
    prop_oneof![
        4 => (task(), any::<bool>()).prop_map(|(t, now)| Step::Claim(t, now)),
        3 => task().prop_map(Step::Send),
        2 => (task(), any::<bool>()).prop_map(|(t, now)| Step::Finish(t, now)),
        2 => (task(), any::<bool>()).prop_map(|(t, now)| Step::Release(t, now)),
        1 => task().prop_map(Step::ReportOrphaned),
        4 => any::<prop::sample::Index>().prop_map(Step::Repeat),
        1 => (0..60_u64).prop_map(|hours| Step::RaiseFloor(NOW + hours * HOUR)),
    ]
}

/// The run-once table with the tasks that use it.
struct Simulation {
    table: RunOnceTable,
    proposals: Vec<(Task, RunOnceCommand)>,
    granted: BTreeSet<Task>,
    released: BTreeSet<Task>,
    /// The tasks that sent the call, by key.
    sent: BTreeMap<usize, BTreeSet<Task>>,
}

impl Simulation {
    fn new() -> Self {
        let retention = Millis::new(24 * HOUR);
        let limits = RunOnceLimits {
            retention,
            max_records: 2,
            max_answer_size: ByteCount::new(4),
            max_expired_keys: 2,
        };
        Self {
            table: RunOnceTable::new(limits),
            proposals: Vec::new(),
            granted: BTreeSet::new(),
            released: BTreeSet::new(),
            sent: BTreeMap::new(),
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Claim(task, now) => self.propose(task, claim(task), now),
            Step::Send(task) => {
                if self.granted.contains(&task) && !self.released.contains(&task) {
                    self.sent.entry(task.0).or_default().insert(task);
                }
            }
            Step::Finish(task, now) if self.has_sent(task) => {
                let answer = RecordedAnswer::Kept([task.1].into());
                let (call, request) = (call(task), request(task));
                self.propose(task, RunOnceCommand::Finish { call, request, answer }, now);
            }
            Step::Release(task, now) if !self.has_sent(task) => {
                self.released.insert(task);
                let (call, request, proposed_at) = (call(task), request(task), WallTime::new(NOW));
                self.propose(task, RunOnceCommand::Release { call, request, proposed_at }, now);
            }
            Step::Finish(..) | Step::Release(..) => {}
            Step::ReportOrphaned(task) => {
                let (call, request) = (call(task), request(task));
                self.table.apply(&RunOnceCommand::ReportOrphaned { call, request });
            }
            Step::Repeat(index) if !self.proposals.is_empty() => {
                let (task, cmd) = index.get(&self.proposals).clone();
                self.apply(task, &cmd);
            }
            Step::Repeat(_) => {}
            Step::RaiseFloor(now) => {
                self.table.apply(&RunOnceCommand::RaiseFloor { now: WallTime::new(now) });
            }
        }
    }

    fn propose(&mut self, task: Task, cmd: RunOnceCommand, now: bool) {
        if now {
            self.apply(task, &cmd);
        }
        self.proposals.push((task, cmd));
    }

    fn apply(&mut self, task: Task, cmd: &RunOnceCommand) {
        if self.table.apply(cmd) == RunOnceReply::Granted {
            self.granted.insert(task);
        }
    }

    fn has_sent(&self, task: Task) -> bool {
        self.sent.get(&task.0).is_some_and(|tasks| tasks.contains(&task))
    }
}

fn call((key, _): Task) -> CallKey {
    CallKey { account: "acme".parse().unwrap(), key: KEYS[key].parse().unwrap() }
}

fn request((key, n): Task) -> RequestId {
    RequestId::from_bytes([key as u8 * 16 + n; 16])
}

fn claim(task: Task) -> RunOnceCommand {
    let claimant = Claimant {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        deadline: Millis::new(11_000),
        proposed_at: WallTime::new(NOW),
    };
    let (call, request, body) = (call(task), request(task), Sha256Digest::of(b"body"));
    RunOnceCommand::Claim(Box::new(Claim { call, body, request, claimant }))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a second run of a call under any interleaving of late and repeated commands, orphan
    /// reports, expiry and full tables.
    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..80)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.run_step(step);
            for (key, tasks) in &simulation.sent {
                prop_assert!(tasks.len() <= 1, "key {} was sent by {:?}", KEYS[*key], tasks);
            }
            prop_assert!(simulation.table.records().len() <= 2);
            prop_assert!(simulation.table.expired().len() <= 2);
        }
    }
}

/// Guards against a property that holds only because no call ever runs.
#[test]
fn a_granted_call_runs() {
    let mut simulation = Simulation::new();
    [Step::Claim((2, 0), true), Step::Send((2, 0))]
        .into_iter()
        .for_each(|s| simulation.run_step(s));
    assert!(simulation.has_sent((2, 0)));
    assert!(KEYS[2].parse::<IdempotencyKey>().unwrap().created().is_some());
}
