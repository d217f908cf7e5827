use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;

use super::EvacuationAction;

/// An order of an operator, as a command of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationOrder {
    /// The data centre; no host needs to know it.
    pub data_centre: DataCentreId,
    /// What is to happen with it.
    pub action: EvacuationAction,
    /// The revision in force at the proposing host when the order arrived. A change of the data centre after it means that
    /// the order may be older than that change.
    pub after: EvacuationRevision,
    /// The clock of the proposing host.
    pub proposed_at: WallTime,
}
