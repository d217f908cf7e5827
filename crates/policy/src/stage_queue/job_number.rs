use std::fmt::{Display, Formatter};

/// Identifies one stage of one request; unique within the process that batches the calls.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobNumber(u64);

impl JobNumber {
    /// Returns the number that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for JobNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, f)
    }
}
