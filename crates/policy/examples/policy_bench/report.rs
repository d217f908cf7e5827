use crate::Mode;
use crate::outcome::Outcome;
use crate::run_stats::RunStats;
use crate::scenario::{Scenario, capacity};

/// Header of the last columns: share of the requests of all accounts but the first that had each
/// outcome other than an answer.
const OUTCOME_COLUMNS: &str = "refused/late/stopped/missed";

/// Prints the header of the table.
pub fn print_header(seed: u64) {
    println!("seed {seed}, capacity {:.0} requests/s", capacity());
    let columns = ["others", "goodput", "to normal", "calls/req", "extra %", "p50 s", "p99 s"];
    let columns = columns.map(|c| format!("{c:>9}")).join(" ");
    println!("{:<12} {:<9} {:>10} {columns}  {OUTCOME_COLUMNS}", "scenario", "mode", "attainment");
}

/// Prints the row of one run.
pub fn print_row(scenario: &Scenario, mode: Mode, stats: &RunStats) {
    let all = stats.attainment(|r| RunStats::is_counted(scenario, r));
    let others = stats.attainment(|r| RunStats::is_counted(scenario, r) && r.account != 0);
    let (goodput, normal) =
        scenario.burst.map_or(("-".into(), "-".into()), |(start, length, _)| {
            let (start, end) = (start * 1_000_000, (start + length) * 1_000_000);
            let goodput = format!("{:.3}", stats.goodput(start, end));
            (goodput, format!("{:.1}", stats.time_to_normal(end)))
        });
    let outcomes = [Outcome::Refused, Outcome::Late, Outcome::Stopped, Outcome::Missed];
    let outcomes = outcomes.map(|f| format!("{:.4}", stats.share_of_others(scenario, f)));
    println!(
        "{:<12} {:<9} {:>10.4} {:>9.4} {:>9} {:>9} {:>9.3} {:>9.2} {:>9.3} {:>9.3}  {}",
        scenario.name,
        format!("{mode:?}").to_lowercase(),
        all,
        others,
        goodput,
        normal,
        stats.calls as f64 / stats.started.max(1) as f64,
        (stats.calls as f64 / stats.first_calls.max(1) as f64 - 1.0) * 100.0,
        stats.latency(0.5),
        stats.latency(0.99),
        outcomes.join(" ")
    );
}
