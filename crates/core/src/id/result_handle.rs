use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// A result of a stage, by the name under which the endpoint that made it keeps it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ResultHandle(Box<str>);

impl ResultHandle {
    /// Takes a handle as the endpoint wrote it.
    pub fn new(handle: impl Into<Box<str>>) -> Self {
        Self(handle.into())
    }

    /// Returns the handle as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ResultHandle {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
