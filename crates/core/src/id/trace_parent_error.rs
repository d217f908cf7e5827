use thiserror::Error;

/// The reason for which a `traceparent` header is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("traceparent is not of the form 00-<32 hex digits>-<16 hex digits>-<2 hex digits>")]
pub struct TraceParentError;
