use crate::Mode;
use crate::fate::Fate;
use crate::scene::{Scene, capacity};
use crate::tally::Tally;

/// The last columns: the shares of what became of requests that were not answered in time, without
/// those of the first account.
const FATES: &str = "refused/late/stopped/missed";

/// Prints the heading of the table.
pub fn print_header(seed: u64) {
    println!("seed {seed}, capacity {:.0} requests/s", capacity());
    let columns = ["others", "goodput", "to normal", "calls/req", "extra %", "p50 s", "p99 s"];
    let columns = columns.map(|c| format!("{c:>9}")).join(" ");
    println!("{:<12} {:<9} {:>10} {columns}  {FATES}", "scene", "mode", "attainment");
}

/// Prints the outcome of one run.
pub fn print_row(scene: &Scene, mode: Mode, tally: &Tally) {
    let all = tally.attainment(|a| Tally::counts(scene, a));
    let others = tally.attainment(|a| Tally::counts(scene, a) && a.account != 0);
    let (goodput, normal) = scene.burst.map_or(("-".into(), "-".into()), |(start, length, _)| {
        let (start, end) = (start * 1_000_000, (start + length) * 1_000_000);
        let goodput = format!("{:.3}", tally.goodput(start, end));
        (goodput, format!("{:.1}", tally.time_to_normal(end)))
    });
    let fates = [Fate::Refused, Fate::Late, Fate::Stopped, Fate::Missed];
    let fates = fates.map(|f| format!("{:.4}", tally.others(scene, f)));
    println!(
        "{:<12} {:<9} {:>10.4} {:>9.4} {:>9} {:>9} {:>9.3} {:>9.2} {:>9.3} {:>9.3}  {}",
        scene.name,
        format!("{mode:?}").to_lowercase(),
        all,
        others,
        goodput,
        normal,
        tally.calls as f64 / tally.started.max(1) as f64,
        (tally.calls as f64 / tally.first_calls.max(1) as f64 - 1.0) * 100.0,
        tally.latency(0.5),
        tally.latency(0.99),
        fates.join(" ")
    );
}
