use masticstair_core::id::{LogIndex, ReplicaId};

use super::{index, set, term};
use crate::consensus::rules::new_commit_index;

#[test]
fn commit_counts_synced_entries_of_the_current_term() {
    struct Case {
        guards: &'static str,
        match_index: &'static [u64],
        /// The first entry of the leader's term.
        term_start_index: u64,
        commit: u64,
        expected: Option<u64>,
    }
    let cases = [
        Case {
            guards: "a majority of three does not commit",
            match_index: &[7, 7, 2],
            term_start_index: 5,
            commit: 4,
            expected: Some(7),
        },
        Case {
            guards: "a minority commits",
            match_index: &[7, 2, 2],
            term_start_index: 5,
            commit: 4,
            expected: None,
        },
        Case {
            guards: "entries of an older term are counted",
            match_index: &[4, 4, 4],
            term_start_index: 5,
            commit: 2,
            expected: None,
        },
        Case {
            guards: "half of four commits",
            match_index: &[9, 9, 5, 5],
            term_start_index: 5,
            commit: 4,
            expected: Some(5),
        },
        Case {
            guards: "the commit index falls",
            match_index: &[6, 6, 6],
            term_start_index: 5,
            commit: 6,
            expected: None,
        },
        Case {
            guards: "an empty set commits",
            match_index: &[],
            term_start_index: 0,
            commit: 0,
            expected: None,
        },
    ];
    for case in cases {
        let voters: Vec<u8> = (0..case.match_index.len() as u8).collect();
        let match_index = |r: ReplicaId| index(case.match_index[r.as_bytes()[0] as usize]);
        let term_at =
            |i: LogIndex| Some(term(if i.get() >= case.term_start_index { 3 } else { 2 }));
        let commit = index(case.commit);
        let found = new_commit_index(&set(&voters, &[]), term(3), commit, match_index, term_at);
        assert_eq!(found, case.expected.map(index), "guards against: {}", case.guards);
    }
}
