use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The number of grants, renewals and releases of a group's lease; never decreases, also across holders.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RenewalCount(u64);

impl RenewalCount {
    /// Creates a count; 0 precedes the first grant.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the count as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RenewalCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RenewalCount {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
