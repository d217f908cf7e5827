use serde::{Deserialize, Serialize};

/// The outcome that is stated for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// Answered completely within its deadline.
    Complete,
    /// Refused, and not run.
    RefusedNotRun,
    /// Answered or refused; its key runs at most once.
    AtMostOnce,
    /// Answered or truthfully refused; used where a trace overloads on purpose.
    Any,
}
