use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The last change of a data centre that is or was evacuated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is evacuated since this change; otherwise the change ended the evacuation.
    pub is_evacuated: bool,
    /// The number of the change; at least 1.
    pub revision: EvacuationRevision,
    /// When the change was proposed, by the clock of the host that proposed it.
    pub changed_at: WallTime,
}
