use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Expected time that a request occupies a host slot, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cost(u64);

impl Cost {
    /// Creates a cost from microseconds of slot time.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the cost in microseconds of slot time.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Cost {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
