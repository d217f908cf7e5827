use super::{on_host, replica, set, term};
use crate::consensus::rules::{FormationAnswer, FormationDecision, decide_formation};

#[test]
fn one_host_forms_the_group_when_all_are_new() {
    struct Case {
        guards: &'static str,
        local: u8,
        /// Replica, whether its log is empty, and its term.
        answers: &'static [(u8, bool, u64)],
        expected: FormationDecision,
    }
    let form =
        |t| FormationDecision::Form { voters: Box::new(set(&[0, 1, 2], &[])), term: term(t) };
    let cases = [
        Case {
            guards: "nobody forms the group",
            local: 0,
            answers: &[(2, true, 0), (0, true, 0), (1, true, 0)],
            expected: form(1),
        },
        Case {
            guards: "two hosts write a first set",
            local: 1,
            answers: &[(0, true, 0), (1, true, 0), (2, true, 0)],
            expected: FormationDecision::Wait,
        },
        Case {
            guards: "a group without a missing host",
            local: 0,
            answers: &[(0, true, 0), (1, true, 0)],
            expected: FormationDecision::Wait,
        },
        Case {
            guards: "a host that lost its disk forms a second group",
            local: 0,
            answers: &[(0, true, 0), (1, false, 3), (2, true, 0)],
            expected: FormationDecision::Join,
        },
        Case {
            guards: "one old answer is overruled by missing ones",
            local: 0,
            answers: &[(0, true, 0), (1, false, 3)],
            expected: FormationDecision::Join,
        },
        Case {
            guards: "a first entry equal to that of an abandoned attempt",
            local: 0,
            answers: &[(0, true, 0), (1, true, 2), (2, true, 0)],
            expected: form(3),
        },
        Case {
            guards: "a host outside the list forms the group",
            local: 5,
            answers: &[(0, true, 0), (1, true, 0), (2, true, 0)],
            expected: FormationDecision::Join,
        },
    ];
    let initial = ["h2", "h0", "h1"].map(|h| h.parse().unwrap());
    for case in cases {
        let answer = |(n, new, t): &(u8, bool, u64)| FormationAnswer {
            replica: replica(*n),
            log_is_empty: *new,
            term: term(*t),
        };
        let answers: Vec<_> = case.answers.iter().map(answer).collect();
        let found = decide_formation(&replica(case.local), &initial, &answers);
        assert_eq!(found, case.expected, "guards against: {}", case.guards);
    }
    // A host that lost its disk between two answers must not be counted with either.
    let mut answers: Vec<_> = (0..3)
        .map(|n| FormationAnswer { replica: replica(n), log_is_empty: true, term: term(0) })
        .collect();
    answers.push(FormationAnswer { replica: on_host(12, 2), log_is_empty: true, term: term(0) });
    assert_eq!(decide_formation(&replica(0), &initial, &answers), FormationDecision::Wait);
}
