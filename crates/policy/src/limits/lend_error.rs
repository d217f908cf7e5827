use super::Amount;
use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason for which a loan is not granted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LendError {
    /// The host needs its part, or has lent what it may.
    #[error("{wanted} were asked for, and {free} of {local} may be lent")]
    NothingFree {
        /// The amount asked for.
        wanted: Amount,
        /// The amount that may be lent now.
        free: Amount,
        /// The part of the host.
        local: Amount,
    },
    /// The term is too long.
    #[error("term of {term} ms (1 to {limit} ms are allowed)")]
    Term {
        /// The term asked for.
        term: Millis,
        /// The longest term.
        limit: Millis,
    },
    /// The host keeps as many loans as it may.
    #[error("{loans} loans are running (at most {limit} are allowed)")]
    TooMany {
        /// The loans that run.
        loans: usize,
        /// The most loans.
        limit: usize,
    },
}
