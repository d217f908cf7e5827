use serde::{Deserialize, Serialize};

use crate::id::{ModelName, ModelVersion};

/// A model that is loaded and warm.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// The model.
    pub name: ModelName,
    /// Its version.
    pub version: ModelVersion,
}
