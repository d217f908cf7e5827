use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// No non-idempotent call was or will be sent; the client can retry the request.
    NotRun,
    /// An endpoint reported that the request failed, or idempotent work failed.
    Failed,
    /// A non-idempotent call may or may not have run.
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
