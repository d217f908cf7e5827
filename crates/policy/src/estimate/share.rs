use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Fraction in `[0, 1]`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(f64);

/// Error of parsing a [`Share`].
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ShareError {
    /// The text is not a number.
    #[error("share {0:?} is not a number")]
    Syntax(Box<str>),
    /// The number is outside `[0, 1]`.
    #[error("share {0} is outside 0 to 1")]
    Range(f64),
}

impl Share {
    /// The fraction 0.
    pub const ZERO: Self = Self(0.0);
    /// The fraction 1.
    pub const ONE: Self = Self(1.0);

    /// Clamps a number to `[0, 1]`; NaN becomes zero.
    pub fn clamped(value: f64) -> Self {
        if value.is_nan() { Self::ZERO } else { Self(value.clamp(0.0, 1.0)) }
    }

    /// Returns the value, from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Share {
    type Err = ShareError;

    fn from_str(s: &str) -> Result<Self, ShareError> {
        let value: f64 = s.parse().map_err(|_| ShareError::Syntax(s.into()))?;
        if (0.0..=1.0).contains(&value) { Ok(Self(value)) } else { Err(ShareError::Range(value)) }
    }
}
