use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::Evidence;

/// Changes of the evidence of a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceUpdate {
    /// The process that sends the update; its positions mean nothing to another one.
    pub incarnation: Incarnation,
    /// The position that the receiver has reached with this update.
    pub position: u64,
    /// The evidence that is new since the position that the receiver had reached.
    pub changes: Vec<Evidence>,
}
