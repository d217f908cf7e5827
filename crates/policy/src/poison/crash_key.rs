use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies the end of one process of an endpoint. All hosts that saw the end use the same key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashKey {
    /// The endpoint that ended.
    pub endpoint: EndpointId,
    /// Its process.
    pub incarnation: Incarnation,
}
