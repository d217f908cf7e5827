use masticstair_core::message::HardState;
use std::rc::Rc;

use super::snapshot::Snapshot;
use super::unwritten_entries::UnwrittenEntries;

/// The next write of the persist task; the fields are written in this order.
#[derive(Debug)]
pub(crate) struct UnsavedState {
    /// The hard state with its version.
    pub(crate) hard_state: Option<(u64, HardState)>,
    pub(crate) snapshot: Option<Rc<Snapshot>>,
    pub(crate) entries: UnwrittenEntries,
}

impl UnsavedState {
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.entries.is_empty()
    }
}
