use masticstair_core::message::{EntryPayload, VoterSet};
use std::rc::Rc;

use crate::consensus::ChangeError;
use crate::consensus::rules::check_change;
use crate::consensus::shared::Shared;
use crate::consensus::tasks::{membership_view, spawn_replication_tasks};

/// Appends a membership change if `check_change` allows it.
pub(crate) fn change_voters(shared: &Rc<Shared>, set: VoterSet) -> Result<(), ChangeError> {
    let Some(view) = membership_view(shared) else {
        return Err(ChangeError::NotLeader { leader: shared.state.borrow().leader_replica() });
    };
    check_change(&view, &set)?;
    shared.state.borrow_mut().append_as_leader(EntryPayload::Voters(Box::new(set)));
    spawn_replication_tasks(shared);
    shared.signals.state_changed.notify();
    Ok(())
}
