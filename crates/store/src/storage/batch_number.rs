use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The number of a batch; consecutive over all segments of a folder.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct BatchNumber(pub(crate) u64);

impl BatchNumber {
    /// Returns the number of the batch that follows.
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for BatchNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for BatchNumber {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
