use masticstair_core::id::{ModelName, ModelVersion};

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServedModel {
    /// The model.
    pub name: ModelName,
    /// Its version.
    pub version: ModelVersion,
}
