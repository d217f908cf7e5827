//! Account limits enforced across all hosts.
//!
//! The local share of each host is the account limit divided by the number of hosts. A [`HostQuota`]
//! tracks the local share and the lent and borrowed amounts for one account and one kind of limit.
//! Loans are leases (Gray, Cheriton 1989): the lender counts the term from its grant and the borrower
//! from its request, which was sent earlier, so the borrower always stops first, even if messages are
//! lost or delayed.

mod account_limits;
mod amount;
mod host_quota;
mod lend_error;
mod loan_grant;
mod loan_id;
mod loan_number;
mod loan_request;
mod loan_return;
mod local_share;
#[cfg(test)]
mod tests;

pub use account_limits::account_limits;
pub use amount::Amount;
pub use host_quota::{HostQuota, MAX_LOAN_TERM};
pub use lend_error::LendError;
pub use loan_grant::LoanGrant;
pub use loan_id::LoanId;
pub use loan_number::LoanNumber;
pub use loan_request::LoanRequest;
pub use loan_return::LoanReturn;
pub use local_share::{local_rate, local_slots};
