use std::rc::Rc;

use crate::consensus::StorageFault;
use crate::consensus::shared::Shared;
use crate::consensus::unsaved_state::UnsavedState;

/// Writes the state to storage, one write at a time; changes made during a write share the next one.
pub(crate) async fn persist(shared: Rc<Shared>) {
    while !shared.is_stopped() {
        let seen = shared.signals.state_changed.version();
        let unsaved = shared.state.borrow_mut().take_unsaved();
        if unsaved.is_empty() {
            shared.signals.state_changed.changed_since(seen).await;
            continue;
        }
        if let Err(fault) = write(&shared, &unsaved).await {
            shared.handle_fault(fault.into());
            return;
        }
        shared.state.borrow_mut().record_saved(&unsaved);
        shared.signals.durable.notify();
        shared.advance_commit();
    }
}

async fn write(shared: &Shared, unsaved: &UnsavedState) -> Result<(), StorageFault> {
    if let Some((_, hard_state)) = unsaved.hard_state {
        (shared.storage.save_hard_state)(hard_state).await?;
    }
    if let Some(snapshot) = &unsaved.snapshot {
        let data = snapshot.data.as_ref().into();
        (shared.storage.save_snapshot)(snapshot.meta.clone(), data).await?;
    }
    if !unsaved.entries.entries.is_empty() {
        (shared.storage.append)(unsaved.entries.entries.clone()).await?;
    }
    Ok(())
}
