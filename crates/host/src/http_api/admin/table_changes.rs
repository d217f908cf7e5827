use masticstair_policy::bundle_history::TableDiff;
use serde::{Deserialize, Serialize};

/// The differences between two bundles in one table; entries are listed by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableChanges {
    /// The name of the table.
    pub table: Box<str>,
    /// Entries that the bundle in force doesn't have.
    pub added: Vec<Box<str>>,
    /// Entries that only the bundle in force has.
    pub removed: Vec<Box<str>>,
    /// Entries of both bundles whose fields differ.
    pub changed: Vec<Box<str>>,
}

impl From<TableDiff> for TableChanges {
    fn from(diff: TableDiff) -> Self {
        let TableDiff { table, added, removed, changed } = diff;
        Self { table, added, removed, changed }
    }
}
