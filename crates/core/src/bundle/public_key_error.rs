use thiserror::Error;

/// The reason why a public key is invalid.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PublicKeyError {
    /// The text does not consist of 64 hexadecimal digits.
    #[error("an Ed25519 public key has 64 hexadecimal digits")]
    Syntax,
    /// The bytes do not encode a point on the curve.
    #[error("the 32 bytes are not a valid Ed25519 public key")]
    Invalid,
}
