use thiserror::Error;

/// Applies to every name type.
const MAX_NAME_CHARS: usize = 64;

/// The reason why a name is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The name is empty.
    #[error("name is empty (1 to 64 characters are allowed)")]
    Empty,
    /// The name is too long; contains its number of characters.
    #[error("name has {0} characters (1 to 64 are allowed)")]
    TooLong(usize),
    /// The name has a character that is not allowed; contains the name and the first such character.
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
