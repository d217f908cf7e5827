use thiserror::Error;

/// A line of a trace is no record.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("line {line}: {message}")]
pub struct TraceError {
    /// The number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: Box<str>,
}
