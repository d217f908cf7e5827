use masticstair_core::id::LogIndex;
use masticstair_core::message::{AppendRequest, EntryPayload, LogEntry};

use super::{id, index, term};
use crate::consensus::rules::{AppendDecision, AppendView, check_append};

#[test]
fn append_matches_or_is_refused() {
    struct Case {
        guards: &'static str,
        /// The terms of the entries after the base.
        log: &'static [u64],
        base: (u64, u64),
        commit: u64,
        prev: (u64, u64),
        /// Index and term of the entries of the request.
        entries: &'static [(u64, u64)],
        decision: AppendDecision,
    }
    use AppendDecision::{Accept, Diverged, Malformed, Mismatch};
    let cases = [
        Case {
            guards: "the first entries of a log are refused",
            log: &[],
            base: (0, 0),
            commit: 0,
            prev: (0, 0),
            entries: &[(1, 1)],
            decision: Accept { new_from: 0 },
        },
        Case {
            guards: "a log with a gap",
            log: &[1],
            base: (0, 0),
            commit: 0,
            prev: (3, 1),
            entries: &[],
            decision: Mismatch { retry_from: index(2) },
        },
        Case {
            guards: "an entry after one of another term",
            log: &[1, 2, 2, 2],
            base: (0, 0),
            commit: 1,
            prev: (4, 3),
            entries: &[],
            decision: Mismatch { retry_from: index(2) },
        },
        Case {
            guards: "a resent entry truncates the entries after it",
            log: &[1, 1, 1],
            base: (0, 0),
            commit: 0,
            prev: (1, 1),
            entries: &[(2, 1)],
            decision: Accept { new_from: 1 },
        },
        Case {
            guards: "a contradicting tail stays",
            log: &[1, 1, 1],
            base: (0, 0),
            commit: 1,
            prev: (1, 1),
            entries: &[(2, 1), (3, 2)],
            decision: Accept { new_from: 1 },
        },
        Case {
            guards: "a committed entry is overwritten",
            log: &[1, 1, 1],
            base: (0, 0),
            commit: 3,
            prev: (1, 1),
            entries: &[(2, 1), (3, 2)],
            decision: Diverged { at: index(3) },
        },
        Case {
            guards: "a contradiction below the commit index is retried for ever",
            log: &[1, 1],
            base: (0, 0),
            commit: 2,
            prev: (2, 2),
            entries: &[],
            decision: Diverged { at: index(2) },
        },
        Case {
            guards: "entries before the snapshot are refused",
            log: &[3],
            base: (5, 2),
            commit: 5,
            prev: (3, 1),
            entries: &[(4, 1), (5, 2), (6, 3), (7, 3)],
            decision: Accept { new_from: 3 },
        },
        Case {
            guards: "entries that are not consecutive",
            log: &[],
            base: (0, 0),
            commit: 0,
            prev: (0, 0),
            entries: &[(2, 1)],
            decision: Malformed,
        },
        Case {
            guards: "entries with falling terms",
            log: &[],
            base: (0, 0),
            commit: 0,
            prev: (0, 0),
            entries: &[(1, 2), (2, 1)],
            decision: Malformed,
        },
        Case {
            guards: "entries of a term after the leader's",
            log: &[],
            base: (0, 0),
            commit: 0,
            prev: (0, 0),
            entries: &[(1, 10)],
            decision: Malformed,
        },
    ];
    for case in cases {
        let entry = |(i, t): &(u64, u64)| LogEntry {
            index: index(*i),
            term: term(*t),
            payload: EntryPayload::Noop,
        };
        let req = AppendRequest {
            term: term(9),
            leader: id(1),
            prev_index: index(case.prev.0),
            prev_term: term(case.prev.1),
            entries: case.entries.iter().map(entry).collect(),
            commit: index(0),
            round: 0,
        };
        let (base, base_term) = case.base;
        let term_at = |i: LogIndex| match i.get().checked_sub(base)? {
            0 => Some(term(base_term)),
            at => case.log.get(at as usize - 1).map(|t| term(*t)),
        };
        let last = index(base + case.log.len() as u64);
        let view = AppendView {
            base_index: index(base),
            last_index: last,
            commit_index: index(case.commit),
            term_at: &term_at,
        };
        assert_eq!(check_append(&view, &req), case.decision, "guards against: {}", case.guards);
    }
}
