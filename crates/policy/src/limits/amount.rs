use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Quantity of a limit: slots, or thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Amount(u64);

impl Amount {
    /// Creates an amount of slots, or of thousandths of a request per second.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the amount in slots, or in thousandths of a request per second.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Amount {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
