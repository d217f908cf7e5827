use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The number of a connection in the account of its process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderNumber(u64);

impl HolderNumber {
    /// Creates the number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for HolderNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for HolderNumber {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}
