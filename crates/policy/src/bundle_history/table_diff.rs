/// How one table of a bundle differs from the same table of another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableDiff {
    /// The table, such as `accounts`.
    pub table: Box<str>,
    /// The names of the entries that only the new bundle has.
    pub added: Vec<Box<str>>,
    /// The names of the entries that only the old bundle has.
    pub removed: Vec<Box<str>>,
    /// The names of the entries that both have, with different values.
    pub changed: Vec<Box<str>>,
}

impl TableDiff {
    /// Returns whether the tables are equal.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}
