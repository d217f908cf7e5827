use crate::outcome::Outcome;

/// A request and what became of it.
pub struct RequestRecord {
    pub account: usize,
    pub arrived_us: u64,
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns when the request was answered within its deadline.
    pub fn answered_us(&self) -> Option<u64> {
        match self.outcome {
            Outcome::Answered(at) => Some(at),
            _ => None,
        }
    }
}
