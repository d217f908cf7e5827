use super::{Amount, LoanId};
use masticstair_core::prelude::*;

/// Request to borrow part of the quota of another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Identifier of the loan if it is granted.
    pub id: LoanId,
    /// Requested amount; the grant may be less.
    pub amount: Amount,
    /// Requested term, at most `MAX_LOAN_TERM`.
    pub term: Millis,
}
