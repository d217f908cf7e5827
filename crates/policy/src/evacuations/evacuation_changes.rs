use masticstair_core::prelude::*;

/// What changed for a host with a new listing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChanges {
    /// Data centres whose endpoints get no more work.
    pub begun: Vec<DataCentreId>,
    /// Data centres whose evacuation has ended. The host may never have known of it.
    pub ended: Vec<DataCentreId>,
}
