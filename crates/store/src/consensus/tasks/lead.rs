use masticstair_core::message::EntryPayload;
use slog::info;
use std::rc::Rc;
use std::time::Instant;

use super::replicate::replicate;
use crate::consensus::Role;
use crate::consensus::leading::Leading;
use crate::consensus::log::next;
use crate::consensus::progress::Progress;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::shared::Shared;

/// Starts to lead the term: a no-op entry commits the entries of earlier terms.
pub(crate) fn become_leader(shared: &Rc<Shared>) {
    let mut state = shared.state.borrow_mut();
    let (first, last) = (next(state.log.last_index()), state.log.last_index());
    let uncommitted = state.log.size_between(next(state.commit), last);
    state.role = Role::Leader;
    state.leader = Some(shared.me.id);
    state.leading = Some(Leading { term_start: first, uncommitted, ..Leading::default() });
    state.append_own(EntryPayload::Noop);
    info!(shared.log, "leads"; "term" => %state.hard.term, "index" => %first);
    drop(state);
    spawn_peers(shared);
    shared.signals.notify_all();
}

/// Starts a replication task for each replica of the set in force that has none, and ends the tasks of
/// replicas that left the set.
pub(crate) fn spawn_peers(shared: &Rc<Shared>) {
    let mut state = shared.state.borrow_mut();
    let ReplicaState { log, leading, .. } = &mut *state;
    let (set, before) = (log.voters(), log.last_index());
    let Some(leading) = leading else { return };
    leading.progress.retain(|id, _| set.all().any(|r| r.id == *id));
    shared.links.borrow_mut().retain(|id, _| set.all().any(|r| r.id == *id));
    for replica in set.all().filter(|r| r.id != shared.me.id) {
        if leading.progress.contains_key(&replica.id) {
            continue;
        }
        let task = shared.last_task.get() + 1;
        shared.last_task.set(task);
        let progress = Progress::new(replica.clone(), task, before, Instant::now());
        leading.progress.insert(replica.id, progress);
        monoio::spawn(replicate(shared.clone(), replica.clone(), task));
    }
}
