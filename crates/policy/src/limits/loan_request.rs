use super::{Amount, LoanId};
use masticstair_core::prelude::*;

/// Asks a host for a part of its limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// The loan that would come of it.
    pub id: LoanId,
    /// The amount that is wanted; the grant may be less.
    pub amount: Amount,
    /// The term that is wanted, at most `MAX_LOAN_TERM`.
    pub term: Millis,
}
