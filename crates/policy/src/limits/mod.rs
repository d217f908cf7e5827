//! Account limits that hold over all hosts together.
//!
//! Each host owns limit ÷ hosts of an account's limit. A [`Ledger`] keeps, for one account and one
//! kind of limit, what the host owns, has lent and has borrowed. Loans are leases (Gray, Cheriton
//! 1989): the lender counts the term from its grant and the borrower from its request, which came
//! earlier, so that the borrower stops first whatever happens to the messages between them.

mod account_limits;
mod amount;
mod ledger;
mod lend_error;
mod loan_grant;
mod loan_id;
mod loan_number;
mod loan_request;
mod loan_return;
mod own_part;
#[cfg(test)]
mod tests;

pub use account_limits::account_limits;
pub use amount::Amount;
pub use ledger::{Ledger, MAX_LOAN};
pub use lend_error::LendError;
pub use loan_grant::LoanGrant;
pub use loan_id::LoanId;
pub use loan_number::LoanNumber;
pub use loan_request::LoanRequest;
pub use loan_return::LoanReturn;
pub use own_part::{own_rate, own_slots};
