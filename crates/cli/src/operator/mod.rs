//! What an operator signs.

mod operator_key;
mod sign;

pub use operator_key::{KeyError, OperatorKey};
pub use sign::sign_command;
