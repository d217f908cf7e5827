use std::fmt::{self, Display};

use super::FieldError;

/// All errors of a document in the order in which they were found; displayed on separate lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldErrors(pub Vec<FieldError>);

impl Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(error, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for FieldErrors {}
