use std::fmt;
use std::str::FromStr;

use super::ParseRightError;

/// A permission of a signer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Right {
    /// Submit a new version of the bundle.
    Submit,
    /// Approve a submitted version.
    SignOff,
    /// Put an approved version in force.
    Roll,
}

impl fmt::Display for Right {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Submit => "submit",
            Self::SignOff => "sign-off",
            Self::Roll => "roll",
        })
    }
}

impl FromStr for Right {
    type Err = ParseRightError;

    fn from_str(s: &str) -> Result<Self, ParseRightError> {
        match s {
            "submit" => Ok(Self::Submit),
            "sign-off" => Ok(Self::SignOff),
            "roll" => Ok(Self::Roll),
            _ => Err(ParseRightError),
        }
    }
}
