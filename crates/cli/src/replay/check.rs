//! Checks results against the outcomes that the trace states.

use masticstair_core::prelude::*;
use std::fmt;

use super::{CallOutcome, CallResult};
use crate::trace::{Expectation, TraceRecord};

/// A stated outcome that did not come about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The position of the record in the trace.
    pub record: usize,
    /// What happened instead.
    pub detail: Box<str>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request {}: {}", self.record, self.detail)
    }
}

/// Returns every violation; `results` are in the order of the records.
pub fn check_results(records: &[TraceRecord], results: &[CallResult]) -> Vec<Violation> {
    results.iter().filter_map(|result| check_result(&records[result.record], result)).collect()
}

/// Tells whether a request was answered completely within its deadline.
pub(crate) fn attained(record: &TraceRecord, result: &CallResult) -> bool {
    matches!(result.outcome, CallOutcome::Complete { .. }) && result.latency <= record.deadline_ms
}

fn check_result(record: &TraceRecord, result: &CallResult) -> Option<Violation> {
    let violation =
        |detail: String| Some(Violation { record: result.record, detail: detail.into() });
    if let (CallOutcome::Complete { text, .. }, Some(marker)) = (&result.outcome, &record.marker)
        && !contains_marker(text, marker)
    {
        return violation(format!("the answer does not belong to {marker}: {text}"));
    }
    match (record.expect, &result.outcome) {
        (Expectation::Complete, CallOutcome::Complete { .. }) => {
            let late = result.latency > record.deadline_ms;
            let detail = format!("late: {} ms of {} ms", result.latency, record.deadline_ms);
            if late { violation(detail) } else { None }
        }
        (Expectation::RefusedNotRun, CallOutcome::Refused(p))
            if p.outcome == RefusalOutcome::NotRun =>
        {
            None
        }
        (Expectation::AtMostOnce | Expectation::Any, CallOutcome::Complete { .. }) => None,
        (Expectation::AtMostOnce | Expectation::Any, CallOutcome::Refused(_)) => None,
        (Expectation::AtMostOnce | Expectation::Any, CallOutcome::Broken(_)) => None,
        (_, CallOutcome::Refused(p)) => {
            violation(format!("refused as {}: {} ({})", p.outcome, p.kind, p.detail))
        }
        (_, CallOutcome::Broken(detail)) => violation(format!("broken: {detail}")),
        (Expectation::RefusedNotRun, CallOutcome::Complete { .. }) => {
            violation("answered, although a refusal was stated".to_owned())
        }
    }
}

/// The marker ends where its number ends: `quote-1` is not in `quote-12`.
fn contains_marker(text: &str, marker: &str) -> bool {
    text.match_indices(marker).any(|(at, _)| {
        let next = text[at + marker.len()..].chars().next();
        next.is_none_or(|c| !c.is_ascii_digit())
    })
}
