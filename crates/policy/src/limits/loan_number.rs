use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of a loan request, unique within an incarnation of the borrower.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanNumber(u64);

impl LoanNumber {
    /// Creates a loan number from an integer; a borrower counts its requests.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number as an integer.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for LoanNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for LoanNumber {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}
