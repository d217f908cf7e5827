use serde::{Deserialize, Serialize};

use crate::unit::Millis;

/// The response to an `Announcement`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// The time after which the announcement expires without a renewal.
    pub lease_ms: Millis,
}
