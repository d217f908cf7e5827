use serde::{Deserialize, Serialize};

use crate::unit::Millis;

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// How long the announcement holds without a renewal.
    pub lease_ms: Millis,
}
