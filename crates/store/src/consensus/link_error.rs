use masticstair_core::unit::Millis;
use thiserror::Error;

/// The reason for which a call to another replica has no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The connection failed or the other replica refused the call.
    #[error("call failed: {0}")]
    Failed(Box<str>),
    /// No answer came in time.
    #[error("no answer within {0} ms")]
    TimedOut(Millis),
}
