use super::{Amount, LoanId};
use masticstair_core::prelude::*;

/// Grant of a loan. The term starts when the borrower sent its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanGrant {
    /// Loan from the request.
    pub id: LoanId,
    /// Lent amount; may be less than requested.
    pub amount: Amount,
    /// Duration of the loan.
    pub term: Millis,
}
