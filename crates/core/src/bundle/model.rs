use crate::id::{ModelName, ModelVersion};
use crate::unit::Slots;

/// A model that engines load.
#[derive(Clone, Debug)]
pub struct Model {
    /// Unique in the bundle.
    pub name: ModelName,
    /// The version that takes traffic.
    pub version: ModelVersion,
    /// The least number of ready engines in each data centre that has engines.
    pub min_ready: Slots,
}
