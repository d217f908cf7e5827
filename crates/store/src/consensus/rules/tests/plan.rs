use masticstair_core::message::VoterSet;

use super::{on_host, replica, set, view};
use crate::consensus::rules::{MembershipView, plan_change};

#[test]
fn leader_repairs_voter_set_one_step_at_a_time() {
    struct Case {
        guards: &'static str,
        view: MembershipView,
        expected: Option<VoterSet>,
    }
    // Replica 12 is the successor of replica 2 on host h2.
    let successor = on_host(12, 2);
    let with_successor = |voters: &[u8]| {
        let mut s = set(voters, &[]);
        s.learners.push(successor.clone());
        s
    };
    let promoted = |voters: &[u8]| {
        let mut s = set(voters, &[]);
        s.voters.push(successor.clone());
        s
    };
    let cases = [
        Case {
            guards: "a healthy group changes",
            view: view(set(&[0, 1, 2], &[3]), &[], &[], &[]),
            expected: None,
        },
        Case {
            guards: "a lost voter is removed without a successor",
            view: view(set(&[0, 1, 2], &[]), &[2], &[], &[]),
            expected: None,
        },
        Case {
            guards: "a successor that is behind counts",
            view: view(set(&[0, 1, 2], &[3]), &[2], &[3], &[]),
            expected: None,
        },
        Case {
            guards: "a lost voter that may return is removed before its successor votes",
            view: view(set(&[0, 1, 2], &[3]), &[2], &[], &[]),
            expected: Some(set(&[0, 1, 2, 3], &[])),
        },
        Case {
            guards: "a lost voter stays after the promotion",
            view: view(set(&[0, 1, 2, 3], &[]), &[2], &[], &[]),
            expected: Some(set(&[0, 1, 3], &[])),
        },
        Case {
            guards: "an even set stays when the lost voter returns",
            view: view(set(&[0, 1, 2, 3], &[]), &[], &[], &[]),
            expected: Some(set(&[0, 1, 2], &[])),
        },
        Case {
            guards: "a full set grows",
            view: view(set(&[0, 1, 2, 3, 4, 5, 6], &[7]), &[6], &[], &[]),
            expected: Some(set(&[0, 1, 2, 3, 4, 5], &[7])),
        },
        Case {
            guards: "a learner is not promoted after a removal",
            view: view(set(&[0, 1], &[3]), &[], &[], &[]),
            expected: Some(set(&[0, 1, 3], &[])),
        },
        Case {
            guards: "the new replica of a host is not added",
            view: view(set(&[0, 1, 2], &[]), &[2], &[], std::slice::from_ref(&successor)),
            expected: Some(with_successor(&[0, 1, 2])),
        },
        Case {
            guards: "the new replica of a host is promoted before its old one is removed",
            view: view(with_successor(&[0, 1, 2]), &[2], &[], &[]),
            expected: Some(with_successor(&[0, 1])),
        },
        Case {
            guards: "the new replica of a host stays a learner",
            view: view(with_successor(&[0, 1]), &[], &[], &[]),
            expected: Some(promoted(&[0, 1])),
        },
        Case {
            guards: "a removal takes the quorum away",
            view: view(with_successor(&[0, 1, 2]), &[1, 2], &[], &[]),
            expected: None,
        },
        Case {
            guards: "a known replica is added again",
            view: view(set(&[0, 1, 2], &[3]), &[], &[], &[replica(3)]),
            expected: None,
        },
        Case {
            guards: "learners beyond the limit",
            view: view(set(&[0, 1, 2], &[3, 4]), &[], &[], &[replica(5)]),
            expected: None,
        },
        Case {
            guards: "a lost learner prevents adding another one",
            view: view(set(&[0, 1, 2], &[3, 4]), &[4], &[], &[]),
            expected: Some(set(&[0, 1, 2], &[3])),
        },
        // Hosts 0, 3 and 6 are in dc0.
        Case {
            guards: "one data centre gets a quorum",
            view: view(set(&[0, 1], &[3, 5]), &[], &[], &[]),
            expected: Some(set(&[0, 1, 5], &[3])),
        },
        Case {
            guards: "an only candidate is refused for its data centre",
            view: view(set(&[0, 1], &[3]), &[], &[], &[]),
            expected: Some(set(&[0, 1, 3], &[])),
        },
    ];
    for case in cases {
        assert_eq!(plan_change(&case.view), case.expected, "guards against: {}", case.guards);
    }
}
