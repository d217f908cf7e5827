use masticstair_core::id::ReplicaId;
use masticstair_core::message::EntryPayload;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::lead::spawn_replication_tasks;
use crate::consensus::Role;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::rules::{MemberView, MembershipView, plan_change};
use crate::consensus::shared::Shared;

/// Proposes membership changes while this replica leads, at most one per tick.
pub(crate) async fn manage_membership(shared: Rc<Shared>) {
    let tick = shared.cfg.heartbeat.duration() * 2;
    while !shared.is_stopped() {
        let seen = shared.signals.role_changed.version();
        if shared.state.borrow().role != Role::Leader {
            shared.signals.role_changed.changed_since(seen).await;
            continue;
        }
        update_catch_up_targets(&shared);
        remove_expired_announcements(&shared);
        if let Some(set) = membership_view(&shared).as_ref().and_then(plan_change) {
            let (voters, learners) = (set.voters.len(), set.learners.len());
            info!(shared.log, "proposing a membership change";
                "voters" => voters, "learners" => learners);
            shared.state.borrow_mut().append_as_leader(EntryPayload::Voters(Box::new(set)));
            spawn_replication_tasks(&shared);
            shared.signals.state_changed.notify();
        }
        monoio::time::sleep(tick).await;
    }
}

/// Returns the leader's view of the members; `None` if this replica does not lead.
pub(crate) fn membership_view(shared: &Shared) -> Option<MembershipView> {
    let state = shared.state.borrow();
    state.leader_state.as_ref()?;
    let voter_set = state.log.voters().clone();
    let members = voter_set.all().filter_map(|r| member(shared, &state, r.id)).collect();
    let announced = shared.announced.borrow().values().map(|(r, _)| r.clone()).collect();
    let voters_index = state.log.voters_index();
    Some(MembershipView {
        leader: shared.local_replica.id,
        voter_set,
        uncommitted_change: (voters_index > state.commit_index).then_some(voters_index),
        term_committed: state.is_term_committed(),
        members,
        announced,
        live_within: shared.cfg.election_max.duration(),
        replace_after: shared.cfg.replace_after.duration(),
        target_voters: shared.cfg.target_voters.get() as usize,
        max_learners: shared.cfg.max_learners.get() as usize,
    })
}

fn member(shared: &Shared, state: &ReplicaState, id: ReplicaId) -> Option<MemberView> {
    if id == shared.local_replica.id {
        let replica = shared.local_replica.clone();
        return Some(MemberView { replica, since_last_reply: Duration::ZERO, caught_up: true });
    }
    let p = state.leader_state.as_ref()?.progress.get(&id)?;
    let (replica, since_last_reply) = (p.replica.clone(), p.last_reply_at.elapsed());
    Some(MemberView { replica, since_last_reply, caught_up: p.caught_up })
}

fn update_catch_up_targets(shared: &Shared) {
    let mut state = shared.state.borrow_mut();
    let commit = state.commit_index;
    if let Some(leader_state) = &mut state.leader_state {
        leader_state.progress.values_mut().for_each(|p| p.update_catch_up_target(commit));
    }
}

/// Removes replicas whose last announcement is older than `Config::replace_after`.
fn remove_expired_announcements(shared: &Shared) {
    let now = Instant::now();
    let limit = shared.cfg.replace_after.duration();
    let mut announced = shared.announced.borrow_mut();
    announced.retain(|_, (_, at)| now.saturating_duration_since(*at) <= limit);
}
