use serde::{Deserialize, Serialize};

use super::{DiffSide, TableChanges};

/// The differences between a bundle and the one in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleDiff {
    /// The bundle in force.
    pub from: DiffSide,
    /// The bundle that is compared with it.
    pub to: DiffSide,
    /// The tables that differ, in the order of the bundle format.
    pub tables: Vec<TableChanges>,
}
