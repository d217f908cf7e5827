use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The sequence number of an endpoint's record; increases by one with each change of the record.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Sequence(u64);

impl Sequence {
    /// Creates a sequence number; 0 precedes the first change.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number; the first record of an endpoint has 1.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the sequence number of the next change; saturates.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Sequence {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
