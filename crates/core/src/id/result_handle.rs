use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// The name under which an endpoint retains the result of a stage.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ResultHandle(Box<str>);

impl ResultHandle {
    /// Creates the handle from the text that the endpoint returned, without validation.
    pub fn new(handle: impl Into<Box<str>>) -> Self {
        Self(handle.into())
    }

    /// Returns the text that the endpoint returned.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for ResultHandle {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
