use std::fmt::{Display, Formatter};

/// One stage of one request, numbered by the host that forms the calls.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobNumber(u64);

impl JobNumber {
    /// Returns the number after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for JobNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, f)
    }
}
