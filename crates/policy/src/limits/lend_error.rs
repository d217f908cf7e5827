use super::Amount;
use masticstair_core::prelude::*;
use thiserror::Error;

/// Reason why a loan is not granted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LendError {
    /// The host uses its local share, or has lent as much as it may.
    #[error("cannot lend {wanted}: {free} of {local} are free to lend")]
    NothingFree {
        /// Requested amount.
        wanted: Amount,
        /// Amount that may be lent at the moment.
        free: Amount,
        /// Local share of the host.
        local: Amount,
    },
    /// The term is zero or too long.
    #[error("loan term of {term} ms is not between 1 and {limit} ms")]
    Term {
        /// Requested term.
        term: Millis,
        /// Maximum term.
        limit: Millis,
    },
    /// The host has granted the maximum number of loans.
    #[error("too many active loans: {loans} (at most {limit})")]
    TooMany {
        /// Number of active loans.
        loans: usize,
        /// Maximum number of loans.
        limit: usize,
    },
}
