use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::StreamWriter;

/// Tells another host when endpoints of a version were listed last.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareSighting {
    /// The service and the version.
    pub writer: StreamWriter,
    /// The time since then.
    pub age: Millis,
}
