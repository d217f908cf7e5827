use masticstair_core::prelude::*;
use masticstair_host::request::StageCost;

/// How a request of the trace ended, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The position of the record in the trace.
    pub record: usize,
    /// Time from the planned sending to the end of the answer.
    pub latency: Millis,
    /// Time from the planned sending to the first token.
    pub first_token: Option<Millis>,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// A whole answer came.
    Complete {
        /// The answer as text.
        text: Box<str>,
        /// What each stage cost.
        cost: Vec<StageCost>,
        /// Whether it is the recorded answer of an earlier request under the same key.
        replayed: bool,
    },
    /// A problem document came.
    Refused(Problem),
    /// The connection broke or the answer was not whole.
    Broken(Box<str>),
}
