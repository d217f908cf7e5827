use thiserror::Error;

/// The reason for which a public key is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PublicKeyError {
    /// The text has another form.
    #[error("an Ed25519 public key has 64 hexadecimal digits")]
    Syntax,
    /// The bytes are no point on the curve.
    #[error("the 32 bytes are not a valid Ed25519 public key")]
    Invalid,
}
