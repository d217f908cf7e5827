use masticstair_policy::admission::AdmissionRefusal;
use masticstair_policy::fair_queue::QueueError;
use thiserror::Error;

/// The reason for which a request may not run.
#[derive(Clone, Debug, Error)]
pub enum AdmissionError {
    /// It cannot meet its deadline.
    #[error(transparent)]
    DeadlineUnreachable(#[from] AdmissionRefusal),
    /// The queue is full.
    #[error(transparent)]
    QueueFull(#[from] QueueError),
}
