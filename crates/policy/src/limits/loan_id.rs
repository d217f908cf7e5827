use super::LoanNumber;
use masticstair_core::prelude::*;

/// Identifier of a loan. It is unique because a borrower numbers its requests within its incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanId {
    /// Host that borrows.
    pub borrower: HostId,
    /// Incarnation of the borrower when it made the request.
    pub incarnation: Incarnation,
    /// Request number within the incarnation.
    pub number: LoanNumber,
}
