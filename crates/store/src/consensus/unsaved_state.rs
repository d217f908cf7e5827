use masticstair_core::message::HardState;
use std::rc::Rc;

use super::snapshot::Snapshot;
use super::unsynced_entries::UnsyncedEntries;

/// The next work of the persist task, written in the order of the fields.
#[derive(Debug)]
pub(crate) struct UnsavedState {
    /// The hard state and its version.
    pub(crate) hard_state: Option<(u64, HardState)>,
    /// A snapshot.
    pub(crate) snapshot: Option<Rc<Snapshot>>,
    /// Entries of the log.
    pub(crate) entries: UnsyncedEntries,
}

impl UnsavedState {
    /// Tells whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.entries.is_empty()
    }
}
