use thiserror::Error;

/// The `traceparent` header is malformed, has an unknown version or contains a zero id.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("traceparent is not of the form 00-<32 hex digits>-<16 hex digits>-<2 hex digits>")]
pub struct TraceParentError;
