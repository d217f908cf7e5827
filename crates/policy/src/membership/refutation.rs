use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A counter that a process raises to refute a suspicion or a declared failure.
///
/// It is separate from the incarnation: a higher incarnation means that the earlier process stopped and lost
/// its claims, while a process that refutes a suspicion still runs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Refutation(u32);

impl Refutation {
    /// Wraps a counter, as received from a peer.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the raw counter.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the counter after one more refutation; it saturates at `u32::MAX`.
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
