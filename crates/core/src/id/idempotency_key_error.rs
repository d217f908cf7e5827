use thiserror::Error;

/// The reason for which a key is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdempotencyKeyError {
    /// The key has no characters or too many.
    #[error("idempotency key has {0} characters (1 to 128 are allowed)")]
    Length(usize),
    /// The key has a character that is not allowed.
    #[error("idempotency key has a character that is not visible ASCII")]
    Character,
}
