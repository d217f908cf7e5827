use super::LoanId;

/// Gives back a loan before its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanReturn {
    /// The loan.
    pub id: LoanId,
}
