use masticstair_core::message::EntryPayload;
use slog::info;
use std::rc::Rc;
use std::time::Instant;

use super::replicate::replicate;
use crate::consensus::Role;
use crate::consensus::leader_state::LeaderState;
use crate::consensus::log::index_after;
use crate::consensus::progress::Progress;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::shared::Shared;

/// Becomes leader of the term. The no-op entry allows the entries of earlier terms to be committed.
pub(crate) fn become_leader(shared: &Rc<Shared>) {
    let mut state = shared.state.borrow_mut();
    let (first, last) = (index_after(state.log.last_index()), state.log.last_index());
    let uncommitted_bytes = state.log.bytes_between(index_after(state.commit_index), last);
    state.role = Role::Leader;
    state.leader = Some(shared.local_replica.id);
    state.leader_state =
        Some(LeaderState { term_start_index: first, uncommitted_bytes, ..LeaderState::default() });
    state.append_as_leader(EntryPayload::Noop);
    info!(shared.log, "leads"; "term" => %state.hard_state.term, "index" => %first);
    drop(state);
    spawn_replication_tasks(shared);
    shared.signals.notify_all();
}

/// Starts a replication task for each member without one, and ends the tasks of replicas that are no
/// longer members.
pub(crate) fn spawn_replication_tasks(shared: &Rc<Shared>) {
    let mut state = shared.state.borrow_mut();
    let ReplicaState { log, leader_state, .. } = &mut *state;
    let (set, last_index) = (log.voters(), log.last_index());
    let Some(leader_state) = leader_state else { return };
    leader_state.progress.retain(|id, _| set.all().any(|r| r.id == *id));
    shared.links.borrow_mut().retain(|id, _| set.all().any(|r| r.id == *id));
    for replica in set.all().filter(|r| r.id != shared.local_replica.id) {
        if leader_state.progress.contains_key(&replica.id) {
            continue;
        }
        let task_id = shared.last_task_id.get() + 1;
        shared.last_task_id.set(task_id);
        let progress = Progress::new(replica.clone(), task_id, last_index, Instant::now());
        leader_state.progress.insert(replica.id, progress);
        monoio::spawn(replicate(shared.clone(), replica.clone(), task_id));
    }
}
