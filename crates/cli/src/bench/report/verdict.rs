use std::fmt;

/// Whether a target was met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// In every run.
    Met,
    /// In no run.
    Missed,
    /// In some runs.
    Mixed {
        /// The runs that met it.
        met: usize,
        /// All runs.
        runs: usize,
    },
    /// There is no target.
    NoTarget,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Met => f.write_str("met"),
            Self::Missed => f.write_str("missed"),
            Self::Mixed { met, runs } => write!(f, "met in {met} of {runs}"),
            Self::NoTarget => f.write_str("-"),
        }
    }
}
