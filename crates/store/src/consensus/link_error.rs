use masticstair_core::unit::Millis;
use thiserror::Error;

/// Why a call to another replica failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The connection failed or the other replica refused the call.
    #[error("call failed: {0}")]
    Failed(Box<str>),
    /// No reply arrived within the timeout.
    #[error("no answer within {0} ms")]
    TimedOut(Millis),
}
