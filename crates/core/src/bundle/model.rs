use crate::id::{ModelName, ModelVersion};
use crate::unit::Slots;

/// A model that engines load.
#[derive(Clone, Debug)]
pub struct Model {
    /// Unique in the bundle.
    pub name: ModelName,
    /// The version that receives traffic.
    pub version: ModelVersion,
    /// The minimum number of ready engines in each data centre that has engines; 1 by default. Hosts do not
    /// act on it.
    pub min_ready: Slots,
}
