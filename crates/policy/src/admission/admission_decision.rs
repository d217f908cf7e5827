use super::AdmissionRefusal;
use std::time::Duration;

/// Admission decision for a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request can start immediately.
    Admit,
    /// The request has to wait and is expected to meet its deadline.
    Queue {
        /// Expected time in the queue.
        wait: Duration,
    },
    /// The request is rejected before any stage has run.
    Refuse(AdmissionRefusal),
}
