use super::{Amount, LoanId};
use masticstair_core::prelude::*;

/// Lends a part of a limit. The borrower counts the term from when it sent its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanGrant {
    /// The loan.
    pub id: LoanId,
    /// The amount that is lent.
    pub amount: Amount,
    /// The term.
    pub term: Millis,
}
