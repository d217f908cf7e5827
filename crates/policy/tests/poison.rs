//! Verdicts on parts of prompts that crash engines.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::poison::{
    CallProgress, CrashKey, CrashReport, Evidence, PoisonTable, PromptParts, Standing,
};
use std::time::Duration;

use CallProgress::{Answering, Queued};

/// A part that crashes engines.
const BAD: u64 = 0xbad;
/// A part that many requests share.
const HOT: u64 = 1;

const START: Timestamp = Timestamp::new(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.plus(Duration::from_millis(ms))
}

fn parts(ids: &[u64]) -> PromptParts {
    ids.iter().map(|id| PromptPartId::new(*id)).collect()
}

fn service() -> ServiceName {
    "engine".parse().unwrap()
}

/// What a host sees, and when.
#[derive(Clone, Copy)]
enum Seen {
    /// Milliseconds, number of the engine, progress and parts of the request.
    Crash(u64, u32, CallProgress, &'static [u64]),
    /// Milliseconds and parts of the request.
    Answer(u64, &'static [u64]),
}

fn record(table: &mut PoisonTable, seen: Seen) {
    match seen {
        Seen::Crash(ms, engine, progress, ids) => {
            let crash = CrashKey {
                endpoint: format!("e{engine}").parse().unwrap(),
                incarnation: Incarnation::new(1),
            };
            let report =
                CrashReport { service: service(), crash, progress, parts: parts(ids), at: at(ms) };
            table.record_crash(at(ms), report);
        }
        Seen::Answer(ms, ids) => {
            table.record_answer(at(ms), &service(), parts(ids).into_iter());
        }
    }
}

fn standing(table: &PoisonTable, ms: u64, ids: &[u64]) -> &'static str {
    match table.standing(at(ms), &service(), &parts(ids)) {
        Standing::Clear => "clear",
        Standing::Suspected => "suspected",
        Standing::Rejected { .. } => "rejected",
    }
}

/// Guards against crashes that go on after the part that causes them could be known, and against verdicts on parts
/// that only share requests or engines with it.
#[test]
fn only_parts_that_crash_engines_are_rejected() {
    struct Case {
        name: &'static str,
        seen: &'static [Seen],
        /// Milliseconds, shared parts of a request, and its standing then.
        expected: &'static [(u64, &'static [u64], &'static str)],
    }
    let cases = [
        Case {
            name: "one crash while answering",
            seen: &[Seen::Crash(0, 1, Answering, &[HOT, BAD])],
            expected: &[(1, &[HOT, BAD], "suspected"), (1, &[HOT, 7], "clear")],
        },
        Case {
            name: "two crashes while answering",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, BAD]),
                Seen::Crash(500, 2, Answering, &[HOT, BAD]),
            ],
            expected: &[(501, &[HOT, BAD], "rejected"), (501, &[HOT, 7], "clear")],
        },
        Case {
            name: "the other part was answered since",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, BAD]),
                Seen::Crash(500, 2, Answering, &[HOT, BAD]),
                Seen::Answer(600, &[HOT, 7]),
            ],
            expected: &[(601, &[9, BAD], "rejected"), (601, &[HOT, 7], "clear")],
        },
        Case {
            name: "the requests differ in all other parts",
            seen: &[
                Seen::Crash(0, 1, Answering, &[2, BAD]),
                Seen::Crash(500, 2, Answering, &[3, BAD]),
            ],
            expected: &[
                (501, &[4, BAD], "rejected"),
                (501, &[2, 7], "clear"),
                (501, &[3, 7], "clear"),
            ],
        },
        Case {
            name: "one engine, seen by two hosts",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, BAD]),
                Seen::Crash(500, 1, Answering, &[HOT, BAD]),
            ],
            expected: &[(501, &[HOT, BAD], "suspected")],
        },
        Case {
            name: "many engines at the same moment",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, 2]),
                Seen::Crash(1, 2, Answering, &[HOT, 3]),
                Seen::Crash(2, 3, Queued, &[HOT, 4]),
                Seen::Crash(3, 4, Queued, &[HOT, 5]),
                Seen::Crash(4, 5, Queued, &[HOT, 6]),
            ],
            expected: &[(5, &[HOT, 7], "clear")],
        },
        Case {
            name: "queued beside the cause",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, BAD]),
                Seen::Crash(0, 1, Queued, &[HOT, 2]),
                Seen::Crash(500, 2, Answering, &[HOT, BAD]),
                Seen::Crash(500, 2, Queued, &[HOT, 3]),
                Seen::Crash(1_000, 3, Queued, &[HOT, 4]),
            ],
            expected: &[(1_001, &[HOT, BAD], "rejected"), (1_001, &[HOT, 2], "clear")],
        },
        Case {
            name: "engines that end before they answer",
            seen: &[
                Seen::Crash(0, 1, Queued, &[HOT, BAD]),
                Seen::Crash(500, 2, Queued, &[HOT, BAD]),
                Seen::Answer(600, &[HOT]),
                Seen::Crash(1_000, 3, Queued, &[HOT, BAD]),
                Seen::Crash(1_500, 4, Queued, &[HOT, BAD]),
            ],
            expected: &[(1_501, &[2, HOT, BAD], "rejected"), (1_501, &[HOT, 2], "clear")],
        },
        Case {
            name: "crashes with answers between them",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, 2]),
                Seen::Answer(100, &[HOT, 2]),
                Seen::Crash(500, 2, Answering, &[HOT, 2]),
                Seen::Answer(600, &[HOT, 2]),
            ],
            expected: &[(601, &[HOT, 2], "clear")],
        },
        Case {
            name: "a second part",
            seen: &[
                Seen::Crash(0, 1, Answering, &[HOT, BAD]),
                Seen::Crash(500, 2, Answering, &[HOT, BAD]),
                Seen::Answer(600, &[HOT]),
                Seen::Crash(1_000, 3, Answering, &[HOT, 0xbad2]),
                Seen::Crash(1_500, 4, Answering, &[HOT, 0xbad2]),
                Seen::Answer(1_600, &[HOT]),
            ],
            expected: &[
                (1_601, &[HOT, BAD], "rejected"),
                (1_601, &[HOT, 0xbad2], "rejected"),
                (1_601, &[HOT, 7], "clear"),
            ],
        },
        Case {
            name: "one more crash after the verdict has ended",
            seen: &[
                Seen::Crash(0, 1, Answering, &[BAD]),
                Seen::Crash(500, 2, Answering, &[BAD]),
                Seen::Crash(700_000, 3, Answering, &[BAD]),
            ],
            expected: &[(700_001, &[BAD], "rejected")],
        },
        Case {
            name: "the verdict has ended",
            seen: &[Seen::Crash(0, 1, Answering, &[BAD]), Seen::Crash(500, 2, Answering, &[BAD])],
            expected: &[(599_000, &[BAD], "rejected"), (601_000, &[BAD], "suspected")],
        },
        Case {
            name: "answered after the verdict",
            seen: &[
                Seen::Crash(0, 1, Answering, &[BAD]),
                Seen::Crash(500, 2, Answering, &[BAD]),
                Seen::Answer(501, &[BAD]),
            ],
            expected: &[(502, &[BAD], "clear")],
        },
    ];
    for case in cases {
        let mut table = PoisonTable::default();
        case.seen.iter().for_each(|seen| record(&mut table, *seen));
        for (ms, ids, expected) in case.expected {
            assert_eq!(standing(&table, *ms, ids), *expected, "{}: {ids:x?}", case.name);
        }
    }
}

/// Guards against hosts with different verdicts, and against evidence that travels for ever.
#[test]
fn evidence_merges_in_any_order_and_settles() {
    let seen = [
        Seen::Crash(0, 1, Queued, &[HOT, BAD]),
        Seen::Crash(0, 1, Answering, &[HOT, BAD]),
        Seen::Crash(500, 2, Answering, &[HOT, BAD]),
        Seen::Answer(700, &[HOT, 5]),
        Seen::Crash(900, 3, Queued, &[HOT, 6]),
    ];
    let now = at(1_000);
    let mut tables: Vec<PoisonTable> = Vec::new();
    for one in seen {
        let mut table = PoisonTable::default();
        // A host remembers an answer only for parts under suspicion.
        if matches!(one, Seen::Answer(..)) {
            record(&mut table, seen[0]);
        }
        record(&mut table, one);
        tables.push(table);
    }
    let evidence: Vec<Vec<Evidence>> =
        tables.iter().map(|table| table.changes_after(now, 0, false)).collect();
    for rotation in 0..evidence.len() {
        let mut table = PoisonTable::default();
        for n in 0..2 * evidence.len() {
            table.merge(now, evidence[(rotation + n) % evidence.len()].clone());
        }
        assert_eq!(standing(&table, 1_001, &[BAD]), "rejected", "from {rotation}");
        assert_eq!(standing(&table, 1_001, &[HOT, 6]), "clear", "from {rotation}");
        let position = table.position();
        assert!(evidence.iter().all(|changes| !table.merge(now, changes.clone())));
        assert_eq!(table.position(), position, "evidence that is known changes nothing");
        assert!(table.changes_after(now, position, false).is_empty());
    }
}

/// Guards against an innocent part that stays under suspicion because the news that it was answered came first.
#[test]
fn an_answer_counts_before_its_crash_is_known() {
    let mut told = PoisonTable::default();
    record(&mut told, Seen::Crash(0, 1, Answering, &[HOT, BAD]));
    let crash = told.changes_after(at(0), 0, false);
    record(&mut told, Seen::Answer(100, &[HOT]));
    let answer: Vec<_> = told
        .changes_after(at(200), 0, false)
        .into_iter()
        .filter(|evidence| matches!(evidence, Evidence::Answered { .. }))
        .collect();
    let mut table = PoisonTable::default();
    table.merge(at(200), answer);
    assert!(table.changes_after(at(200), 0, false).is_empty(), "it is not passed on");
    table.merge(at(0), crash);
    assert_eq!(standing(&table, 300, &[BAD]), "suspected");
    assert_eq!(standing(&table, 300, &[HOT]), "clear");
}

/// Guards against a host that lets a known part through after its restart: its clock begins after the crashes.
#[test]
fn evidence_from_before_the_start_counts() {
    let mut table = PoisonTable::default();
    record(&mut table, Seen::Crash(0, 1, Answering, &[HOT, BAD]));
    record(&mut table, Seen::Crash(500, 2, Answering, &[HOT, BAD]));
    record(&mut table, Seen::Answer(600, &[HOT]));
    let mut restarted = PoisonTable::default();
    let started = Timestamp::new(1_000);
    restarted.merge(started, table.changes_after(at(9_000), 0, false));
    let standing = |ids| restarted.standing(started, &service(), &parts(ids));
    assert!(matches!(standing(&[HOT, BAD]), Standing::Rejected { .. }));
    assert_eq!(standing(&[HOT, 7]), Standing::Clear);
}

/// Guards against a table that grows with the number of parts.
#[test]
fn evidence_is_bounded_and_retains_what_a_verdict_needs() {
    let mut table = PoisonTable::default();
    record(&mut table, Seen::Crash(0, 1, Answering, &[BAD]));
    record(&mut table, Seen::Crash(500, 2, Answering, &[BAD]));
    for n in 0..600 {
        let crash = CrashKey {
            endpoint: format!("x{n}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        };
        let ids: PromptParts = (0..100).map(|part| PromptPartId::new(1_000 * n + part)).collect();
        let (now, progress) = (at(600 + n), CallProgress::Queued);
        let report = CrashReport { service: service(), crash, progress, parts: ids, at: now };
        table.record_crash(now, report);
    }
    assert!(table.changes_after(at(1_300), 0, false).len() <= 256);
    assert_eq!(standing(&table, 1_300, &[BAD]), "rejected");
}
