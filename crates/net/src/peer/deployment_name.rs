use std::fmt;
use std::str::FromStr;

use masticstair_core::id::{HostId, NameError};

/// The deployment that a host belongs to; hosts of different deployments do not talk to each other.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DeploymentName(Box<str>);

impl DeploymentName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DeploymentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for DeploymentName {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, NameError> {
        // The rule is that of every other name.
        s.parse::<HostId>().map(|name| Self(name.as_str().into()))
    }
}
