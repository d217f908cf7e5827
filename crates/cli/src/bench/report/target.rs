use serde::Serialize;
use std::fmt;

/// The stated target of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// At least this value.
    AtLeast(f64),
    /// At most this value.
    AtMost(f64),
    /// Below this value.
    Below(f64),
    /// The figure explains others and has no target.
    None,
}

impl Target {
    /// Tells whether a value meets the target.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtLeast(bound) => value >= bound,
            Self::AtMost(bound) => value <= bound,
            Self::Below(bound) => value < bound,
            Self::None => true,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtLeast(bound) => write!(f, ">= {bound}"),
            Self::AtMost(bound) => write!(f, "<= {bound}"),
            Self::Below(bound) => write!(f, "< {bound}"),
            Self::None => f.write_str("-"),
        }
    }
}
