use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

use super::RateError;

/// A rate in events per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RatePerSecond(f64);

impl RatePerSecond {
    /// Returns the rate in events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RatePerSecond {
    type Err = RateError;

    fn from_str(s: &str) -> Result<Self, RateError> {
        let value: f64 = s.parse().map_err(|_| RateError::Syntax(s.into()))?;
        value.try_into()
    }
}

impl TryFrom<f64> for RatePerSecond {
    type Error = RateError;

    fn try_from(value: f64) -> Result<Self, RateError> {
        if value.is_finite() && value >= 0.0 {
            Ok(Self(value))
        } else {
            Err(RateError::Range(value))
        }
    }
}

impl From<RatePerSecond> for f64 {
    fn from(rate: RatePerSecond) -> Self {
        rate.0
    }
}
