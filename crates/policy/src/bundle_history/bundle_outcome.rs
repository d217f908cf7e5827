use masticstair_core::prelude::*;
use std::fmt;

/// Whether a bundle of the history was rolled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BundleOutcome {
    /// It was never in force.
    Submitted,
    /// It is or was in force, most recently as this revision.
    Rolled(Revision),
}

impl fmt::Display for BundleOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submitted => f.write_str("submitted"),
            Self::Rolled(revision) => write!(f, "revision {revision}"),
        }
    }
}
