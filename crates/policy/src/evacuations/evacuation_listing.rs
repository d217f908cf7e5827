use masticstair_core::id::EvacuationRevision;
use serde::{Deserialize, Serialize};

use super::Evacuation;

/// All data centres that are or were evacuated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationListing {
    /// The number of the last change.
    pub revision: EvacuationRevision,
    /// One entry for each data centre, sorted by name; at most `MAX_DATA_CENTRES`.
    pub data_centres: Vec<Evacuation>,
}
