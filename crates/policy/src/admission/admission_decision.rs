use super::AdmissionRefusal;
use std::time::Duration;

/// What becomes of a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It can start at once.
    Admit,
    /// It is expected to start after this time and to meet its deadline.
    Queue {
        /// The expected wait.
        wait: Duration,
    },
    /// It is refused as not run.
    Refuse(AdmissionRefusal),
}
