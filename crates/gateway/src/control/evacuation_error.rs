use masticstair_core::id::DataCentreId;
use thiserror::Error;

use super::StoreError;

/// Why an order for a data centre has no outcome.
#[derive(Clone, Debug, Error)]
pub enum EvacuationError {
    /// Too many data centres are evacuated; nothing changed.
    #[error("{0} data centres are evacuated, which is the limit; nothing was changed")]
    Full(usize),
    /// The order contradicts a change that its sender may not have seen. Nothing changed; an operator who still wants it sends
    /// it again.
    #[error("the order may be older than the last change of {0}; nothing was changed")]
    Outdated(DataCentreId),
    /// The order may have waited while the process of this host was paused, and operators have sent other ones since. Nothing
    /// changed.
    #[error("this host was paused, and the order may be old; nothing was changed")]
    Paused,
    /// The replicated log gave no definite answer.
    #[error(transparent)]
    Store(#[from] StoreError),
}
