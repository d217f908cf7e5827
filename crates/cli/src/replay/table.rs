use std::fmt::Write;

use super::Report;

/// Formats a report for a terminal.
pub fn format_table(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_pipelines(&mut out, report);
    let _ = write_stages(&mut out, report);
    let _ = write_summary(&mut out, report);
    out
}

fn write_pipelines(out: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(
        out,
        "{:<22} {:>8} {:>8} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8}",
        "pipeline",
        "requests",
        "attained",
        "not_run",
        "failed",
        "unknown",
        "broken",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "token ms"
    )?;
    for p in &report.pipelines {
        let attained = 100.0 * p.attained as f64 / p.requests.max(1) as f64;
        let first_token = p.first_token_p95_ms.map_or("-".to_owned(), |ms| ms.to_string());
        writeln!(
            out,
            "{:<22} {:>8} {:>7.1}% {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8}",
            p.pipeline.as_str(),
            p.requests,
            attained,
            p.not_run,
            p.failed,
            p.unknown,
            p.broken,
            p.p50_ms,
            p.p95_ms,
            p.p99_ms,
            first_token
        )?;
    }
    Ok(())
}

fn write_stages(out: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(
        out,
        "\n{:<22} {:<10} {:>7} {:>10} {:>10} {:>10}",
        "pipeline", "stage", "calls", "engine ms", "tokens in", "tokens out"
    )?;
    for s in &report.stages {
        writeln!(
            out,
            "{:<22} {:<10} {:>7} {:>10} {:>10} {:>10}",
            s.pipeline.as_str(),
            s.stage.as_str(),
            s.calls,
            s.engine_ms,
            s.input_tokens,
            s.output_tokens
        )?;
    }
    Ok(())
}

fn write_summary(out: &mut String, report: &Report) -> std::fmt::Result {
    let attainment = 100.0 * report.attainment;
    writeln!(out, "\n{} requests, attainment {attainment:.2}%", report.requests)?;
    match report.violations.len() {
        0 => writeln!(out, "every stated outcome came about"),
        count => {
            writeln!(out, "{count} stated outcomes did not come about:")?;
            report.violations.iter().try_for_each(|v| writeln!(out, "  {v}"))
        }
    }
}
