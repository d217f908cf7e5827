use masticstair_core::message::VoterSet;

use super::{id, index, set, view};
use crate::consensus::rules::{ChangeError, MembershipView, check_change};

#[test]
fn change_is_refused_unless_quorums_overlap_and_live() {
    struct Case {
        guards: &'static str,
        view: MembershipView,
        new: VoterSet,
        expected: Result<(), ChangeError>,
    }
    let of = |voters: &[u8], learners: &[u8]| view(set(voters, learners), &[], &[], &[]);
    let cases = [
        Case {
            guards: "a promotion is refused",
            view: of(&[0, 1, 2], &[3]),
            new: set(&[0, 1, 2, 3], &[]),
            expected: Ok(()),
        },
        Case {
            guards: "a removal is refused",
            view: of(&[0, 1, 2], &[]),
            new: set(&[0, 1], &[]),
            expected: Ok(()),
        },
        Case {
            guards: "two voters at once",
            view: of(&[0, 1, 2], &[3]),
            new: set(&[0, 1, 3], &[]),
            expected: Err(ChangeError::TooManyChanges(2)),
        },
        Case {
            guards: "a vote for a replica that is no learner",
            view: of(&[0, 1, 2], &[]),
            new: set(&[0, 1, 2, 3], &[]),
            expected: Err(ChangeError::NotCaughtUp(id(3))),
        },
        Case {
            guards: "a vote for a learner that is behind",
            view: view(set(&[0, 1, 2], &[3]), &[], &[3], &[]),
            new: set(&[0, 1, 2, 3], &[]),
            expected: Err(ChangeError::NotCaughtUp(id(3))),
        },
        Case {
            guards: "an eighth voter",
            view: of(&[0, 1, 2, 3, 4, 5, 6], &[7]),
            new: set(&[0, 1, 2, 3, 4, 5, 6, 7], &[]),
            expected: Err(ChangeError::VoterCount(8)),
        },
        Case {
            guards: "a replica in both lists",
            view: of(&[0, 1, 2], &[3]),
            new: set(&[0, 1, 2, 3], &[3]),
            expected: Err(ChangeError::Duplicate(id(3))),
        },
        Case {
            guards: "a new set without a live quorum",
            view: view(set(&[0, 1, 2], &[]), &[1], &[], &[]),
            new: set(&[0, 1], &[]),
            expected: Err(ChangeError::NoLiveQuorum { live: 1, quorum: 2 }),
        },
        Case {
            guards: "a second change at a time",
            view: MembershipView { uncommitted_change: Some(index(4)), ..of(&[0, 1, 2], &[3]) },
            new: set(&[0, 1, 2, 3], &[]),
            expected: Err(ChangeError::InProgress(index(4))),
        },
        Case {
            guards: "a change before the leader knows of earlier ones",
            view: MembershipView { term_committed: false, ..of(&[0, 1, 2], &[3]) },
            new: set(&[0, 1, 2, 3], &[]),
            expected: Err(ChangeError::TermNotCommitted),
        },
    ];
    for case in cases {
        assert_eq!(
            check_change(&case.view, &case.new),
            case.expected,
            "guards against: {}",
            case.guards
        );
    }
}
