use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

use super::LogLine;

/// Lines of endpoints that are shown at the most: those of a busy service fill pages.
const MAX_AROUND: usize = 40;

/// Finds the lines of a request, and those of its endpoints and of the catalog that were written at most `around`
/// before the first or after the last of them; in the order of time. None when no line has the request.
pub fn find_story(lines: &[LogLine], request: &str, around: Duration) -> Option<Vec<LogLine>> {
    let own: Vec<_> = lines.iter().filter(|line| line.text("request") == Some(request)).collect();
    let first = own.iter().map(|line| &line.at).min()?;
    let last = own.iter().map(|line| &line.at).max()?;
    let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| endpoints_of(line)).collect();
    let is_meant = |line: &&LogLine| {
        line.text("request").is_none()
            && line.text("endpoint").is_some_and(|id| endpoints.contains(id))
            && distance(&line.at, first, last).is_some_and(|distance| distance <= around)
    };
    let near = lines.iter().filter(is_meant).take(MAX_AROUND);
    let mut story: Vec<_> = own.iter().copied().chain(near).cloned().collect();
    story.sort_by(|a, b| a.at.cmp(&b.at));
    Some(story)
}

/// Prints the lines of a story, one a line, each with its fields.
pub fn format_story(story: &[LogLine]) -> String {
    let mut out = String::new();
    for line in story {
        // Writing to a string does not fail.
        let _ = write!(out, "{} {} {}", line.at, line.host, line.message);
        for (name, value) in &line.fields {
            let _ = match value.as_str() {
                Some(text) => write!(out, " {name}={text:?}"),
                None => write!(out, " {name}={value}"),
            };
        }
        out.push('\n');
    }
    out
}

/// Returns the endpoints that a line names: `attempts` has `ENDPOINT:RESULT:TIME` for each.
fn endpoints_of(line: &LogLine) -> impl Iterator<Item = &str> {
    let attempts = line.text("attempts").unwrap_or_default().split_whitespace();
    attempts.filter_map(|attempt| attempt.split(':').next()).chain(line.text("endpoint"))
}

/// Returns how far a time is from a span; zero within it, none when a time cannot be read.
fn distance(at: &str, first: &str, last: &str) -> Option<Duration> {
    let (at, first, last) = (seconds(at)?, seconds(first)?, seconds(last)?);
    Some(Duration::from_secs_f64((first - at).max(at - last).max(0.0)))
}

/// Returns the seconds of a time since the beginning of its month, which is enough for a span of minutes; the times
/// of one request do not cross the end of a month but once, and then lines around it are left out.
fn seconds(at: &str) -> Option<f64> {
    let (date, time) = at.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    Some(day * 86_400.0 + part()? * 3_600.0 + part()? * 60.0 + part()?)
}
