use std::fmt;
use std::str::FromStr;

use super::ParseLogLevelError;

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// Details of each request.
    Debug,
    /// Changes of state.
    #[default]
    Info,
    /// Problems that need attention.
    Warning,
    /// Failures.
    Error,
}

impl LogLevel {
    /// Converts the level to that of the logging library.
    pub fn slog(self) -> slog::Level {
        match self {
            Self::Debug => slog::Level::Debug,
            Self::Info => slog::Level::Info,
            Self::Warning => slog::Level::Warning,
            Self::Error => slog::Level::Error,
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

impl FromStr for LogLevel {
    type Err = ParseLogLevelError;

    fn from_str(s: &str) -> Result<Self, ParseLogLevelError> {
        [Self::Debug, Self::Info, Self::Warning, Self::Error]
            .into_iter()
            .find(|level| level.to_string() == s)
            .ok_or(ParseLogLevelError)
    }
}
