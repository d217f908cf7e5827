use thiserror::Error;

/// The text is not a digest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a SHA-256 digest has 64 hexadecimal digits")]
pub struct DigestError;
