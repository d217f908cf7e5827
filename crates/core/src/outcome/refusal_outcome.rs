use serde::{Deserialize, Serialize};
use std::fmt;

/// How far a refused request came.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// No call that must not be repeated was or will be sent; the caller can ask again.
    NotRun,
    /// The request failed by the word of an endpoint, or work that may be repeated failed.
    Failed,
    /// A call that must not be repeated may or may not have run.
    Unknown,
}

impl fmt::Display for RefusalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}
