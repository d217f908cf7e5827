use thiserror::Error;

/// The text is not a signature.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an Ed25519 signature has 128 hexadecimal digits")]
pub struct SignatureError;
