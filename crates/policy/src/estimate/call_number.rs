use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of a call, unique within one [`EndpointEstimate`](super::EndpointEstimate).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(u64);

impl CallNumber {
    /// Creates a call number from an integer.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number as an integer.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for CallNumber {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
