//! Account limits that hold over all hosts together.
//!
//! Each host owns limit ÷ hosts of an account's limit. A [`HostQuota`] keeps, for one account and one
//! kind of limit, what the host owns, has lent and has borrowed. Loans are leases (Gray, Cheriton
//! 1989): the lender counts the term from its grant and the borrower from its request, which came
//! earlier, so that the borrower stops first whatever happens to the messages between them.

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
