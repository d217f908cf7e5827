use super::LoanId;

/// Early return of a loan by the borrower.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanReturn {
    /// Loan that the borrower no longer uses.
    pub id: LoanId,
}
