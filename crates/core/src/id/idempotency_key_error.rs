use thiserror::Error;

/// The reason why an idempotency key is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdempotencyKeyError {
    /// The key is empty or too long; contains its number of characters.
    #[error("idempotency key has {0} characters (1 to 128 are allowed)")]
    Length(usize),
    /// The key has a character that is not visible ASCII.
    #[error("idempotency key has a character that is not visible ASCII")]
    Character,
}
