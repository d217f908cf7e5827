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

/// Asks for votes and leads when a quorum grants them. A transfer skips the pre-vote: the leader chose
/// this replica.
pub(crate) async fn campaign(shared: &Rc<Shared>, transfer: bool) {
    if !may_stand(shared) {
        return;
    }
    if !transfer && !wins_pre_vote(shared).await {
        return;
    }
    let (req, version) = start_election(shared, transfer);
    if shared.hard_state_durable(version).await.is_err() {
        return;
    }
    let is_won = ask_voters(shared, req).await;
    let state = shared.state.borrow();
    let still_stands = state.role == Role::Candidate && state.hard.term == req.term;
    drop(state);
    if is_won && still_stands && shared.check_serving().is_ok() {
        become_leader(shared);
    }
}

/// Tells whether this replica is a working voter.
fn may_stand(shared: &Shared) -> bool {
    let is_voter = shared.state.borrow().log.voters().is_voter(shared.me.id);
    is_voter && shared.check_serving().is_ok()
}

/// Asks whether a vote would be granted, so that a replica that cannot win leaves the term as it is.
async fn wins_pre_vote(shared: &Rc<Shared>) -> bool {
    let req = {
        let state = shared.state.borrow();
        let term = Term::new(state.hard.term.get() + 1);
        VoteRequest { pre_vote: true, transfer: false, ..request(shared, &state, term) }
    };
    if !ask_voters(shared, req).await {
        return false;
    }
    let state = shared.state.borrow();
    let has_leader = state.has_leader(Instant::now(), shared.cfg.election_min.duration());
    state.hard.term.get() + 1 == req.term.get() && !has_leader
}

/// Starts a new term with the vote for this replica; returns the request and the hard state to sync.
fn start_election(shared: &Shared, transfer: bool) -> (VoteRequest, u64) {
    let mut state = shared.state.borrow_mut();
    let term = Term::new(state.hard.term.get() + 1);
    state.follow(term, None);
    state.role = Role::Candidate;
    state.set_hard(HardState { term, voted_for: Some(shared.me.id) });
    let req = VoteRequest { transfer, ..request(shared, &state, term) };
    let version = state.hard_version;
    drop(state);
    shared.signals.changed.notify();
    (req, version)
}

fn request(shared: &Shared, state: &ReplicaState, term: Term) -> VoteRequest {
    VoteRequest {
        term,
        candidate: shared.me.id,
        // Each voter is asked by its own id.
        voter: shared.me.id,
        last_index: state.log.last_index(),
        last_term: state.log.last_term(),
        pre_vote: false,
        transfer: false,
    }
}

/// Asks all voters at the same time; returns whether a quorum granted the vote.
async fn ask_voters(shared: &Rc<Shared>, req: VoteRequest) -> bool {
    let set = shared.state.borrow().log.voters().clone();
    let others = set.voters.iter().filter(|r| r.id != shared.me.id);
    let mut calls: FuturesUnordered<_> = others.map(|r| ask(shared, r.clone(), req)).collect();
    let mut granted = BTreeSet::from([shared.me.id]);
    while !has_quorum(&set, |id| granted.contains(&id)) {
        let Some((id, reply)) = calls.next().await else { return false };
        match reply {
            Some(reply) if reply.term > req.term || (reply.term == req.term && !reply.granted) => {
                adopt(shared, reply.term);
            }
            Some(VoteReply { granted: true, .. }) => {
                granted.insert(id);
            }
            _ => {}
        }
    }
    true
}

async fn ask(
    shared: &Rc<Shared>,
    voter: Replica,
    req: VoteRequest,
) -> (ReplicaId, Option<VoteReply>) {
    let call = (shared.link(&voter).vote)(VoteRequest { voter: voter.id, ..req });
    let reply = monoio::time::timeout(shared.cfg.call_timeout.duration(), call).await;
    (voter.id, reply.ok().and_then(Result::ok))
}

/// Moves to a higher term that a voter reported.
fn adopt(shared: &Shared, term: Term) {
    if term > shared.state.borrow().hard.term {
        shared.step_down(term, "a voter has a higher term");
    }
}
