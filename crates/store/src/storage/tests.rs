//! Unit tests of `TermRuns`, whose states cannot all be reached through `StorageHandle`.

use super::{Position, TermRuns};
use masticstair_core::id::{LogIndex, Term};

fn at(index: u64, term: u64) -> Position {
    Position { index: LogIndex::new(index), term: Term::new(term) }
}

struct Case {
    name: &'static str,
    pushed: &'static [(u64, u64)],
    dropped: (u64, u64),
    terms: &'static [Option<u64>],
}

const CASES: &[Case] = &[
    Case { name: "empty", pushed: &[], dropped: (0, 0), terms: &[Some(0), None] },
    Case {
        name: "one run",
        pushed: &[(1, 1), (2, 1)],
        dropped: (0, 0),
        terms: &[Some(0), Some(1), Some(1), None],
    },
    Case {
        name: "truncation",
        pushed: &[(1, 1), (2, 1), (3, 2), (2, 3)],
        dropped: (0, 0),
        terms: &[Some(0), Some(1), Some(3), None],
    },
    Case {
        name: "drop inside a run",
        pushed: &[(1, 1), (2, 1), (3, 1)],
        dropped: (2, 1),
        terms: &[None, None, Some(1), Some(1), None],
    },
    Case {
        name: "drop to the end of a run",
        pushed: &[(1, 1), (2, 2), (3, 2)],
        dropped: (1, 1),
        terms: &[None, Some(1), Some(2), Some(2)],
    },
    Case {
        name: "drop all",
        pushed: &[(1, 1), (2, 2)],
        dropped: (2, 2),
        terms: &[None, None, Some(2), None],
    },
];

/// Guards against comparing a snapshot with the term of the wrong entry, which would discard a valid tail of
/// the log or keep a conflicting one.
#[test]
fn terms_of_entries() {
    for Case { name, pushed, dropped, terms } in CASES {
        let mut runs = TermRuns::default();
        pushed.iter().for_each(|(index, term)| runs.push(at(*index, *term)));
        runs.drop_through(at(dropped.0, dropped.1));
        for (index, term) in terms.iter().enumerate() {
            assert_eq!(
                runs.term_at(LogIndex::new(index as u64)),
                term.map(Term::new),
                "{name}: {index}"
            );
        }
    }
}

/// Guards against memory use that grows with each term although snapshots cover the old entries.
#[test]
fn dropped_terms_free_memory() {
    let mut runs = TermRuns::default();
    (1..=100).for_each(|index| runs.push(at(index, index)));
    assert_eq!(runs.count(), 100);
    runs.drop_through(at(98, 98));
    assert_eq!(runs.count(), 2);
}
