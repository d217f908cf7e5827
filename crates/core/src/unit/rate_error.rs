use thiserror::Error;

/// The reason why a rate is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RateError {
    /// The text is not a number.
    #[error("rate {0:?} is not a number")]
    Syntax(Box<str>),
    /// The rate is negative or not finite.
    #[error("rate {0} is not a finite number of at least 0")]
    Range(f64),
}
