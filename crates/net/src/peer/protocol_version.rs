use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The version of the messages between hosts; peers of another version are refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProtocolVersion(u16);

impl ProtocolVersion {
    /// The version of this build.
    pub const CURRENT: Self = Self(1);

    /// Creates a version from its number in the hello.
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// Returns the number for the hello.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for ProtocolVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ProtocolVersion {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
