use super::RestartDelay;
use std::time::Duration;

/// Guards against attempts that load a full disk without a pause, and against a replica that comes back long
/// after its disk.
#[test]
fn restart_delays_are_bounded() {
    struct Case {
        name: &'static str,
        ran_ms: &'static [u64],
        draw: f64,
        expected_ms: &'static [u64],
    }
    let cases = [
        Case {
            name: "delays double up to the limit",
            ran_ms: &[],
            draw: 1.0,
            expected_ms: &[100, 200, 400, 800, 1_000, 1_000],
        },
        Case {
            name: "the jitter takes up to half",
            ran_ms: &[],
            draw: 0.0,
            expected_ms: &[50, 100, 200, 400, 500, 500],
        },
        Case {
            name: "a short run does not reset the delay",
            ran_ms: &[9_999],
            draw: 1.0,
            expected_ms: &[200],
        },
        Case { name: "a long run resets it", ran_ms: &[10_000], draw: 1.0, expected_ms: &[100] },
    ];
    for case in cases {
        let mut delay = RestartDelay::default();
        for ran in case.ran_ms {
            delay.next(case.draw);
            delay.record_run(Duration::from_millis(*ran));
        }
        for expected in case.expected_ms {
            let next = delay.next(case.draw);
            assert_eq!(next, Duration::from_millis(*expected), "{}", case.name);
        }
    }
}
