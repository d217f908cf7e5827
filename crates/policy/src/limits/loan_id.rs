use super::LoanNumber;
use masticstair_core::prelude::*;

/// A loan; unique because a borrower numbers its requests within its incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanId {
    /// The host that borrows.
    pub borrower: HostId,
    /// The incarnation of the borrower.
    pub incarnation: Incarnation,
    /// The number of the request.
    pub number: LoanNumber,
}
