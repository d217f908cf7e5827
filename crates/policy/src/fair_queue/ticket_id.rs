use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifier of a queued or running request, unique per host.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(u64);

impl TicketId {
    /// Creates an identifier from its integer form.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the integer form.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for TicketId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
