use masticstair_core::id::{ModelName, ModelVersion};

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServedModel {
    /// The name under which the bundle lists the model.
    pub name: ModelName,
    /// The version that the endpoint has loaded.
    pub version: ModelVersion,
}
