use std::fs;

use super::scenes::{measure_faults, measure_overhead, measure_throughput, measure_tokens};
use super::{BenchError, BenchOptions, BenchReport, Figure, SceneName};

/// How often a scene runs; the figures are given as a range.
const RUNS: usize = 3;
/// How often the scene of faults runs: each run takes two minutes.
const FAULT_RUNS: usize = 1;

/// Runs the scenes and returns the figures.
///
/// # Errors
///
/// Fails when a host or a stand-in does not start. A missed target is no error: it is in the report.
pub fn run_bench(
    options: BenchOptions,
    mut progress: impl FnMut(&str),
) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::default();
    for scene in SceneName::ALL {
        if options.scene.is_some_and(|only| only != scene) {
            continue;
        }
        let load_before = load_average();
        let mut figures: Vec<Figure> = Vec::new();
        let runs = if scene == SceneName::Faults { FAULT_RUNS } else { RUNS };
        for run in 0..runs {
            progress(&format!("{scene}: run {} of {runs}", run + 1));
            merge(&mut figures, run_scene(scene, options.seed + run as u64)?);
        }
        for figure in &mut figures {
            figure.load_average = load_before.max(load_average());
        }
        report.figures.extend(figures);
    }
    Ok(report)
}

fn run_scene(scene: SceneName, seed: u64) -> Result<Vec<Figure>, BenchError> {
    match scene {
        SceneName::Faults => measure_faults(seed),
        SceneName::Overhead => measure_overhead(seed),
        SceneName::Throughput => measure_throughput(seed),
        SceneName::Tokens => measure_tokens(seed),
    }
}

/// Adds the figures of one more run to those of the runs before.
fn merge(all: &mut Vec<Figure>, run: Vec<Figure>) {
    for figure in run {
        match all.iter_mut().find(|f| f.name == figure.name) {
            Some(known) => known.runs.extend(figure.runs),
            None => all.push(figure),
        }
    }
}

/// Returns the load of the machine over the last minute; 0 when the system does not tell.
fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or_default()
}
