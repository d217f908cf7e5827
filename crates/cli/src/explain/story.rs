use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::LogLine;

/// Lines of endpoints that are shown at the most: those of a busy service fill pages.
const MAX_AROUND: usize = 40;

/// Finds the lines of a request, and those of its endpoints that were written at most `around` before the first or
/// after the last of them; in the order of time. None when no line has the request.
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
    let read = |text| OffsetDateTime::parse(text, &Rfc3339).ok();
    let (at, first, last) = (read(at)?, read(first)?, read(last)?);
    Some((first - at).max(at - last).max(time::Duration::ZERO).unsigned_abs())
}
