use serde::{Deserialize, Serialize};

use super::{DiffSide, TableChanges};

/// How a bundle differs from the one in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleDiff {
    /// The bundle in force.
    pub from: DiffSide,
    /// The other bundle.
    pub to: DiffSide,
    /// The tables that differ, in the order of a bundle.
    pub tables: Vec<TableChanges>,
}
