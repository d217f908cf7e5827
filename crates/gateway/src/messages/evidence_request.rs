use masticstair_core::prelude::*;
use masticstair_policy::poison::Evidence;
use serde::{Deserialize, Serialize};

/// Tells a control host new evidence on prompts and asks for what it has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EvidenceRequest {
    /// The process of the control host that `position` belongs to.
    pub incarnation: Incarnation,
    /// The position of the last reply.
    pub position: u64,
    /// Evidence that the control host does not have from this host yet.
    pub changes: Vec<Evidence>,
    /// How long the control host may wait for new evidence.
    pub wait: Millis,
}
