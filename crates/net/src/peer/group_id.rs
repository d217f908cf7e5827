use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The replicated log that a message belongs to. There is one log today; the number lets it be split.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupId(u32);

impl GroupId {
    /// The only log of today.
    pub const FIRST: Self = Self(0);

    /// Wraps a raw value.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the raw value.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for GroupId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
