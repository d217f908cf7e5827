use masticstair_policy::admission::AdmissionRefusal;
use masticstair_policy::fair_queue::QueueError;
use thiserror::Error;

/// Why a request was not admitted. The texts become the details of problem documents.
#[derive(Clone, Debug, Error)]
pub(crate) enum AdmissionError {
    /// The request cannot complete before its deadline.
    #[error(transparent)]
    DeadlineUnreachable(#[from] AdmissionRefusal),
    /// The queue of the host or of the account is full.
    #[error(transparent)]
    QueueFull(#[from] QueueError),
}
