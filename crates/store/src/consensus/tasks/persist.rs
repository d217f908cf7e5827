use std::rc::Rc;

use crate::consensus::StorageFault;
use crate::consensus::shared::Shared;
use crate::consensus::unsaved::Unsaved;

/// Brings the state to storage, one write at a time; changes made during a write share the next one.
pub(crate) async fn persist(shared: Rc<Shared>) {
    while !shared.is_stopped() {
        let seen = shared.signals.changed.version();
        let unsaved = shared.state.borrow_mut().take_unsaved();
        if unsaved.is_empty() {
            shared.signals.changed.after(seen).await;
            continue;
        }
        if let Err(fault) = write(&shared, &unsaved).await {
            shared.fail(fault);
            return;
        }
        shared.state.borrow_mut().note_saved(&unsaved);
        shared.signals.durable.notify();
        shared.advance_commit();
    }
}

async fn write(shared: &Shared, unsaved: &Unsaved) -> Result<(), StorageFault> {
    if let Some((_, hard)) = unsaved.hard {
        (shared.storage.save_hard_state)(hard).await?;
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
