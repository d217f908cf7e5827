use serde::{Deserialize, Serialize};

use crate::id::{ModelName, ModelVersion};

/// A model that an endpoint has loaded and warmed up.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// The name of the model in the bundle.
    pub name: ModelName,
    /// The loaded version, which may differ from that of the bundle.
    pub version: ModelVersion,
}
