use crate::outcome::Outcome;

/// Request with its outcome, for the statistics.
pub struct RequestRecord {
    pub account: usize,
    pub arrived_us: u64,
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the time of the answer in microseconds; `None` if the request was not answered in time.
    pub fn answered_us(&self) -> Option<u64> {
        match self.outcome {
            Outcome::Answered(at) => Some(at),
            _ => None,
        }
    }
}
