use masticstair_core::id::{HostId, NameError};
use std::fmt;
use std::str::FromStr;

/// The name of a deployment; a command signed for one is refused by another. Has the form of other names.
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
        // The check of names is private to the core package; every name has the same one.
        s.parse::<HostId>()?;
        Ok(Self(s.into()))
    }
}
