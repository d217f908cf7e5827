use masticstair_core::id::{DataCentreId, ReplicaId};
use masticstair_core::message::{Replica, VoterSet};

use super::MembershipView;
use super::check_change;

/// Returns the next change of the voters that the leader should propose, if any.
///
/// The order is: vote out a voter whose successor on the same host has caught up, vote out a lost voter
/// while a learner has caught up, promote a learner, drop a lost learner, add an announced replica as a
/// learner. A voter is voted out before its successor is voted in, so that no step changes two voters
/// and the set never exceeds its size.
pub fn plan_change(view: &MembershipView) -> Option<VoterSet> {
    let plans =
        [replace_reborn, remove_lost, promote, drop_lost_learner, add_announced].into_iter();
    plans.filter_map(|plan| plan(view)).find(|set| check_change(view, set).is_ok())
}

/// Votes out a voter whose host came back with a new, caught-up replica.
fn replace_reborn(view: &MembershipView) -> Option<VoterSet> {
    let successor = |voter: &Replica| {
        let mut learners = view.set.learners.iter();
        learners.any(|l| l.host == voter.host && view.is_caught_up(l.id))
    };
    let voter = view.set.voters.iter().find(|v| v.id != view.leader && successor(v))?;
    Some(without_voter(&view.set, voter.id))
}

/// Votes out a lost voter when a learner can take its place.
fn remove_lost(view: &MembershipView) -> Option<VoterSet> {
    view.set.learners.iter().find(|l| view.is_caught_up(l.id))?;
    let voter = view.set.voters.iter().find(|v| v.id != view.leader && view.is_lost(v.id))?;
    Some(without_voter(&view.set, voter.id))
}

/// Promotes the learner that spreads the voters best while there are fewer than wanted.
fn promote(view: &MembershipView) -> Option<VoterSet> {
    if view.set.voters.len() >= view.target_voters {
        return None;
    }
    let has_voter = |l: &Replica| view.set.voters.iter().any(|v| v.host == l.host);
    let ready = view.set.learners.iter().filter(|l| view.is_caught_up(l.id) && !has_voter(l));
    let sets = ready.map(|learner| (learner, with_voter(&view.set, learner)));
    let best = sets.min_by_key(|(learner, set)| {
        let here = voters_in(set, &learner.data_centre);
        (here >= set.quorum(), here, learner.host.clone())
    });
    best.map(|(_, set)| set)
}

/// Drops a learner that is lost, so that another one can be added.
fn drop_lost_learner(view: &MembershipView) -> Option<VoterSet> {
    let lost = view.set.learners.iter().find(|l| view.is_lost(l.id))?;
    Some(without_learner(&view.set, lost.id))
}

/// Adds an announced replica as a learner, in place of an older learner of the same host.
fn add_announced(view: &MembershipView) -> Option<VoterSet> {
    let known = |r: &Replica| view.set.all().any(|known| known.id == r.id);
    view.announced.iter().filter(|r| !known(r)).find_map(|r| {
        let mut set = view.set.clone();
        set.learners.retain(|l| l.host != r.host);
        let replaces = set.voters.iter().any(|v| v.host == r.host);
        // The successor of a voter is admitted above the bound: it is what the repair waits for.
        let limit = view.max_learners + usize::from(replaces);
        if set.learners.len() >= limit {
            return None;
        }
        set.learners.push(r.clone());
        Some(set)
    })
}

fn without_voter(set: &VoterSet, id: ReplicaId) -> VoterSet {
    let voters = set.voters.iter().filter(|r| r.id != id).cloned().collect();
    VoterSet { voters, learners: set.learners.clone() }
}

fn without_learner(set: &VoterSet, id: ReplicaId) -> VoterSet {
    let learners = set.learners.iter().filter(|r| r.id != id).cloned().collect();
    VoterSet { voters: set.voters.clone(), learners }
}

fn with_voter(set: &VoterSet, learner: &Replica) -> VoterSet {
    let mut new = without_learner(set, learner.id);
    new.voters.push(learner.clone());
    new
}

fn voters_in(set: &VoterSet, data_centre: &DataCentreId) -> usize {
    set.voters.iter().filter(|r| r.data_centre == *data_centre).count()
}
