//! Which requests a host that stops may still begin.

use masticstair_core::prelude::*;
use masticstair_policy::planned_stop::PlannedStop;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

/// Guards against requests that cannot end before the stop, and against refusals of those that can (LOST).
#[test]
fn requests_that_cannot_end_before_the_stop_are_not_begun() {
    struct Case {
        now_ms: u64,
        deadline_ms: u64,
        once: bool,
        repeatable: bool,
    }
    let cases = [
        Case { now_ms: 1_000, deadline_ms: 4_000, once: true, repeatable: true },
        Case { now_ms: 1_000, deadline_ms: 8_000, once: true, repeatable: true },
        Case { now_ms: 1_000, deadline_ms: 8_001, once: false, repeatable: true },
        Case { now_ms: 3_499, deadline_ms: 20_000, once: false, repeatable: true },
        Case { now_ms: 3_500, deadline_ms: 20_000, once: false, repeatable: false },
        Case { now_ms: 7_000, deadline_ms: 7_900, once: true, repeatable: true },
        Case { now_ms: 7_000, deadline_ms: 8_100, once: false, repeatable: false },
    ];
    let stop = PlannedStop { begun: at(1_000), ends: at(8_000) };
    for case in cases {
        let may_begin =
            |is_repeatable| stop.may_begin(at(case.now_ms), at(case.deadline_ms), is_repeatable);
        let name = format!("{} to {} ms", case.now_ms, case.deadline_ms);
        assert_eq!((may_begin(false), may_begin(true)), (case.once, case.repeatable), "{name}");
    }
}
