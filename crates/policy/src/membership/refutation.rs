use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// How often a process has refuted a suspicion or a declared failure.
///
/// It is separate from the incarnation, because an incarnation that rises means that the process is gone
/// with its claims, while a process that refutes a suspicion still runs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Refutation(u32);

impl Refutation {
    /// Wraps a raw value.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the raw value.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next refutation.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Refutation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Refutation {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
