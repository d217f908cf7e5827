//! Until when the next event of a stream serves the client.

use masticstair_core::unit::Timestamp;
use masticstair_policy::stream_timing::StreamTiming;
use std::time::Duration;

/// Guards against streams that break off for good because their first event would be late now (LOST).
#[test]
fn a_stream_that_goes_on_has_until_its_client_leaves() {
    struct Case {
        objective_ms: u64,
        gap_ms: Option<u64>,
        deadline_ms: u64,
        leaves_ms: u64,
        new_ms: u64,
        goes_on_ms: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { objective_ms: 300, gap_ms: Some(100), deadline_ms: 9_000, leaves_ms: 2_000, new_ms: 300, goes_on_ms: 1_900 },
        Case { objective_ms: 300, gap_ms: Some(500), deadline_ms: 9_000, leaves_ms: 4_000, new_ms: 300, goes_on_ms: 3_500 },
        Case { objective_ms: 2_000, gap_ms: None, deadline_ms: 9_000, leaves_ms: 8_000, new_ms: 2_000, goes_on_ms: 7_500 },
        Case { objective_ms: 2_000, gap_ms: Some(500), deadline_ms: 3_000, leaves_ms: 3_000, new_ms: 2_000, goes_on_ms: 2_500 },
        Case { objective_ms: 2_000, gap_ms: Some(500), deadline_ms: 1_000, leaves_ms: 1_000, new_ms: 2_000, goes_on_ms: 2_000 },
    ];
    for case in cases {
        let at = |ms: u64| Timestamp::new((5_000 + ms) * 1_000);
        let timing = StreamTiming {
            waits_since: at(0),
            deadline: at(case.deadline_ms),
            objective: Duration::from_millis(case.objective_ms),
            max_event_gap: case.gap_ms.map(Duration::from_millis),
        };
        assert_eq!(timing.client_leaves(), at(case.leaves_ms), "{timing:?}");
        assert_eq!(timing.next_event_due(false), at(case.new_ms), "{timing:?}");
        assert_eq!(timing.next_event_due(true), at(case.goes_on_ms), "{timing:?}");
    }
}
