use std::fmt::Write;

use super::{BenchReport, Figure};

/// Formats the report as a Markdown table.
pub fn format_bench_table(report: &BenchReport) -> String {
    let mut out = String::from(
        "| scene | figure | unit | target | measured (range of runs) | load average | verdict |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for figure in &report.figures {
        let Figure { scene, name, unit, target, load_average, .. } = figure;
        let (range, verdict) = (format_range(figure), figure.verdict());
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "| {scene} | {name} | {unit} | {target} | {range} | {load_average:.1} | {verdict} |"
        );
    }
    out
}

fn format_range(figure: &Figure) -> String {
    let (low, high) = figure.range();
    let digits = if high.abs() < 10.0 { 3 } else { 0 };
    format!("{low:.digits$} to {high:.digits$}")
}
