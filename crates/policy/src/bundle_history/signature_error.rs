use thiserror::Error;

/// The text does not consist of 128 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an Ed25519 signature has 128 hexadecimal digits")]
pub struct SignatureError;
