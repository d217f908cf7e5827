use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A scene of the measurement.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SceneName {
    /// Attainment under faults.
    Faults,
    /// The latency that a host adds to a call.
    Overhead,
    /// Requests and tokens a second on one worker.
    Throughput,
    /// The delay of each token of many streams.
    Tokens,
}

/// The text names no scene.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected overhead, tokens, throughput or faults")]
pub struct ParseSceneError;

impl SceneName {
    /// Every scene in the order in which they run.
    pub const ALL: [Self; 4] = [Self::Overhead, Self::Tokens, Self::Throughput, Self::Faults];

    /// Returns the name as on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Faults => "faults",
            Self::Overhead => "overhead",
            Self::Throughput => "throughput",
            Self::Tokens => "tokens",
        }
    }
}

impl fmt::Display for SceneName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for SceneName {
    type Err = ParseSceneError;

    fn from_str(s: &str) -> Result<Self, ParseSceneError> {
        Self::ALL.into_iter().find(|name| name.as_str() == s).ok_or(ParseSceneError)
    }
}
