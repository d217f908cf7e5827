use thiserror::Error;

/// The longest name in characters.
const MAX_NAME_CHARS: usize = 64;

/// The reason for which a name is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The name has no characters.
    #[error("name is empty (1 to 64 characters are allowed)")]
    Empty,
    /// The name is too long.
    #[error("name has {0} characters (1 to 64 are allowed)")]
    TooLong(usize),
    /// The name has a character that is not allowed.
    #[error("name {0:?} has the character {1:?} (a-z, A-Z, 0-9, '.', '_' and '-' are allowed)")]
    Character(Box<str>, char),
}

/// Checks the length and the characters of a name.
pub(crate) fn check_name(s: &str) -> Result<(), NameError> {
    if s.is_empty() {
        return Err(NameError::Empty);
    }
    let len = s.chars().count();
    if len > MAX_NAME_CHARS {
        return Err(NameError::TooLong(len));
    }
    match s.chars().find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-')) {
        Some(c) => Err(NameError::Character(s.into(), c)),
        None => Ok(()),
    }
}
