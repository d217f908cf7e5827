use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// How far an engine had come with a request when it ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CallProgress {
    /// It had not begun to answer.
    Queued,
    /// It had sent the head of its answer, but no complete event.
    Answering,
}

impl Display for CallProgress {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Answering => "answering",
        })
    }
}
