use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use masticstair_core::id::{ReplicaId, Term};
use masticstair_core::message::{HardState, Replica, VoteReply, VoteRequest};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use super::lead::become_leader;
use crate::consensus::Role;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::rules::has_quorum;
use crate::consensus::shared::Shared;

/// Requests votes and becomes leader if a quorum grants them. A leadership transfer skips the pre-vote,
/// since the leader chose this replica.
pub(crate) async fn campaign(shared: &Rc<Shared>, transfer: bool) {
    if !can_campaign(shared) {
        return;
    }
    if !transfer && !wins_pre_vote(shared).await {
        return;
    }
    let (req, version) = start_election(shared, transfer);
    if shared.wait_hard_state_durable(version).await.is_err() {
        return;
    }
    let has_quorum_votes = request_votes(shared, req).await;
    let state = shared.state.borrow();
    let is_still_candidate = state.role == Role::Candidate && state.hard_state.term == req.term;
    drop(state);
    if has_quorum_votes && is_still_candidate && shared.check_serving().is_ok() {
        become_leader(shared);
    }
}

/// Returns whether this replica is a voter, is running and has no storage fault.
fn can_campaign(shared: &Shared) -> bool {
    let is_voter = shared.state.borrow().log.voters().is_voter(shared.local_replica.id);
    is_voter && shared.check_serving().is_ok()
}

/// Asks whether a vote would be granted, so that a replica that cannot win does not raise the term.
async fn wins_pre_vote(shared: &Rc<Shared>) -> bool {
    let req = {
        let state = shared.state.borrow();
        let term = Term::new(state.hard_state.term.get() + 1);
        VoteRequest { pre_vote: true, transfer: false, ..vote_request(shared, &state, term) }
    };
    if !request_votes(shared, req).await {
        return false;
    }
    let state = shared.state.borrow();
    let has_leader = state.has_leader(Instant::now(), shared.cfg.election_min.duration());
    state.hard_state.term.get() + 1 == req.term.get() && !has_leader
}

/// Starts a new term with the vote for this replica. Returns the request, and the hard state version to
/// sync before it is sent.
fn start_election(shared: &Shared, transfer: bool) -> (VoteRequest, u64) {
    let mut state = shared.state.borrow_mut();
    let term = Term::new(state.hard_state.term.get() + 1);
    state.become_follower(term, None);
    state.role = Role::Candidate;
    state.set_hard_state(HardState { term, voted_for: Some(shared.local_replica.id) });
    let req = VoteRequest { transfer, ..vote_request(shared, &state, term) };
    let version = state.hard_state_version;
    drop(state);
    shared.signals.state_changed.notify();
    (req, version)
}

fn vote_request(shared: &Shared, state: &ReplicaState, term: Term) -> VoteRequest {
    VoteRequest {
        term,
        candidate: shared.local_replica.id,
        // Replaced by the id of each voter in `request_vote`.
        voter: shared.local_replica.id,
        last_index: state.log.last_index(),
        last_term: state.log.last_term(),
        pre_vote: false,
        transfer: false,
    }
}

/// Sends the request to all voters concurrently; returns whether a quorum granted the vote.
async fn request_votes(shared: &Rc<Shared>, req: VoteRequest) -> bool {
    let set = shared.state.borrow().log.voters().clone();
    let others = set.voters.iter().filter(|r| r.id != shared.local_replica.id);
    let mut calls: FuturesUnordered<_> =
        others.map(|r| request_vote(shared, r.clone(), req)).collect();
    let mut granted = BTreeSet::from([shared.local_replica.id]);
    while !has_quorum(&set, |id| granted.contains(&id)) {
        let Some((id, reply)) = calls.next().await else { return false };
        match reply {
            Some(reply) if reply.term > req.term || (reply.term == req.term && !reply.granted) => {
                adopt_higher_term(shared, reply.term);
            }
            Some(VoteReply { granted: true, .. }) => {
                granted.insert(id);
            }
            _ => {}
        }
    }
    true
}

async fn request_vote(
    shared: &Rc<Shared>,
    voter: Replica,
    req: VoteRequest,
) -> (ReplicaId, Option<VoteReply>) {
    let call = (shared.link(&voter).vote)(VoteRequest { voter: voter.id, ..req });
    let reply = monoio::time::timeout(shared.cfg.call_timeout.duration(), call).await;
    (voter.id, reply.ok().and_then(Result::ok))
}

/// Adopts a higher term reported by a voter.
fn adopt_higher_term(shared: &Shared, term: Term) {
    if term > shared.state.borrow().hard_state.term {
        shared.step_down(term, "a voter has a higher term");
    }
}
