use masticstair_policy::bundle_history::TableDiff;
use serde::{Deserialize, Serialize};

/// The entries of a table that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableChanges {
    /// The table.
    pub table: Box<str>,
    /// Entries that only the other bundle has.
    pub added: Vec<Box<str>>,
    /// Entries that only the bundle in force has.
    pub removed: Vec<Box<str>>,
    /// Entries that both have with different fields.
    pub changed: Vec<Box<str>>,
}

impl From<TableDiff> for TableChanges {
    fn from(diff: TableDiff) -> Self {
        let TableDiff { table, added, removed, changed } = diff;
        Self { table, added, removed, changed }
    }
}
