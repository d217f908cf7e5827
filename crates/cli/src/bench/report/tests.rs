use super::*;
use crate::bench::SceneName;

struct VerdictCase {
    guards: &'static str,
    target: Target,
    runs: &'static [f64],
    verdict: Verdict,
}

#[test]
fn verdict_counts_the_runs_that_meet_the_target() {
    let cases = [
        VerdictCase {
            guards: "a value at the bound of an upper target is missed",
            target: Target::AtMost(1.0),
            runs: &[1.0, 0.5],
            verdict: Verdict::Met,
        },
        VerdictCase {
            guards: "a value at a bound that has to be undercut is met",
            target: Target::Below(1.0),
            runs: &[1.0],
            verdict: Verdict::Missed,
        },
        VerdictCase {
            guards: "one good run hides the bad ones",
            target: Target::AtLeast(0.98),
            runs: &[0.98, 0.97, 0.5],
            verdict: Verdict::Mixed { met: 1, runs: 3 },
        },
        VerdictCase {
            guards: "a figure without a target is judged",
            target: Target::None,
            runs: &[3.0],
            verdict: Verdict::NoTarget,
        },
    ];
    for case in cases {
        let mut figure = Figure::new(SceneName::Overhead, "figure", "us", case.target, 0.0);
        figure.runs = case.runs.iter().copied().collect();
        assert_eq!(figure.verdict(), case.verdict, "{}", case.guards);
    }
}
