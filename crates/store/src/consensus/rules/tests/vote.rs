use masticstair_core::message::{HardState, VoteRequest};

use super::{id, index, term};
use crate::consensus::rules::{VoteDecision, VoteView, grant_vote};

#[test]
fn vote_is_granted_once_and_only_to_a_current_log() {
    struct Case {
        guards: &'static str,
        /// Term, vote and last entry of the voter, and whether it has a leader.
        voter: (u64, Option<u8>, (u64, u64), bool),
        /// Term and last entry of candidate 1.
        candidate: (u64, (u64, u64)),
        pre_vote: bool,
        transfer: bool,
        granted: bool,
        adopted: bool,
    }
    let base = Case {
        guards: "a fresh vote is refused",
        voter: (4, None, (3, 9), false),
        candidate: (5, (3, 9)),
        pre_vote: false,
        transfer: false,
        granted: true,
        adopted: true,
    };
    let cases = [
        Case {
            guards: "an old candidate wins",
            candidate: (3, (9, 9)),
            granted: false,
            adopted: false,
            ..base
        },
        Case {
            guards: "two votes in one term",
            voter: (5, Some(2), (3, 9), false),
            granted: false,
            adopted: false,
            ..base
        },
        Case {
            guards: "a resent request is refused",
            voter: (5, Some(1), (3, 9), false),
            adopted: false,
            ..base
        },
        Case {
            guards: "a shorter log loses committed entries",
            candidate: (5, (3, 8)),
            granted: false,
            ..base
        },
        Case {
            guards: "a longer log of an older term wins",
            candidate: (5, (2, 99)),
            granted: false,
            ..base
        },
        Case { guards: "a shorter log of a newer term loses", candidate: (5, (4, 1)), ..base },
        Case {
            guards: "a returning host ends a working term",
            voter: (4, None, (3, 9), true),
            granted: false,
            adopted: false,
            ..base
        },
        Case {
            guards: "a transfer waits for the timeout",
            voter: (4, None, (3, 9), true),
            transfer: true,
            ..base
        },
        Case { guards: "a pre-vote changes the term", pre_vote: true, adopted: false, ..base },
        Case {
            guards: "a pre-vote ends a working term",
            pre_vote: true,
            voter: (4, None, (3, 9), true),
            granted: false,
            adopted: false,
            ..base
        },
        Case {
            guards: "a transfer helps an old log",
            transfer: true,
            candidate: (5, (3, 8)),
            granted: false,
            ..base
        },
    ];
    for case in cases {
        let (voter_term, voted_for, (last_term, last_index), has_leader) = case.voter;
        let view = VoteView {
            hard_state: HardState { term: term(voter_term), voted_for: voted_for.map(id) },
            last_index: index(last_index),
            last_term: term(last_term),
            has_leader,
        };
        let req = VoteRequest {
            term: term(case.candidate.0),
            candidate: id(1),
            voter: id(2),
            last_index: index(case.candidate.1.1),
            last_term: term(case.candidate.1.0),
            pre_vote: case.pre_vote,
            transfer: case.transfer,
        };
        let expected = VoteDecision { granted: case.granted, adopt_term: case.adopted };
        assert_eq!(grant_vote(&view, &req), expected, "guards against: {}", case.guards);
    }
}
