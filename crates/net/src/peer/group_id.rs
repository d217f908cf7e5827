use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The replicated log that a message belongs to. There is one log; the id allows for a split into several.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupId(u32);

impl GroupId {
    /// The id of the only log.
    pub const FIRST: Self = Self(0);

    /// Creates an id from its value in the messages.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the value for the messages.
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
