use thiserror::Error;

/// The text does not consist of 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a SHA-256 digest has 64 hexadecimal digits")]
pub struct DigestError;
