use masticstair_core::id::{DataCentreId, ReplicaId};
use masticstair_core::message::{Replica, VoterSet};

use super::MembershipView;
use super::check_change::{MAX_VOTERS, check_change};

/// Returns the next membership change that the leader should propose, if any.
///
/// The order is: remove a voter whose successor on the same host has caught up, remove a lost voter,
/// remove an excess voter, promote a learner, drop a lost learner, add an announced replica as a
/// learner. Each step changes at most one voter.
pub(crate) fn plan_change(view: &MembershipView) -> Option<VoterSet> {
    let plans = [
        remove_superseded_voter,
        remove_lost_voter,
        remove_excess_voter,
        promote_learner,
        drop_lost_learner,
        add_announced_learner,
    ];
    let mut sets = plans.iter().filter_map(|plan| plan(view));
    sets.find(|set| check_change(view, set).is_ok())
}

/// Removes a voter whose host came back with a new replica, once that one has caught up.
fn remove_superseded_voter(view: &MembershipView) -> Option<VoterSet> {
    let successor = |voter: &Replica| {
        let mut learners = view.voter_set.learners.iter();
        learners.any(|l| l.host == voter.host && view.is_caught_up(l.id))
    };
    let voter = view.voter_set.voters.iter().find(|v| v.id != view.leader && successor(v))?;
    Some(without_voter(&view.voter_set, voter.id))
}

/// Removes a lost voter after a learner was promoted in addition, which leaves an even set.
///
/// The promotion comes first because a lost voter may return. If only two of three voters were left in
/// the set and one of them lost its disk, the return of the removed one could not restore a quorum. Only
/// a full set removes the voter first.
fn remove_lost_voter(view: &MembershipView) -> Option<VoterSet> {
    let count = view.voter_set.voters.len();
    let has_successor = view.voter_set.learners.iter().any(|l| view.is_caught_up(l.id));
    let is_due = count.is_multiple_of(2) || (count >= MAX_VOTERS && has_successor);
    let voter = lost_voters(view).next().filter(|_| is_due)?;
    Some(without_voter(&view.voter_set, voter.id))
}

/// Removes a voter of the data centre with the most voters when there are more than desired, as after a
/// lost voter returned.
fn remove_excess_voter(view: &MembershipView) -> Option<VoterSet> {
    if view.voter_set.voters.len() <= desired_voter_count(view) {
        return None;
    }
    let others = view.voter_set.voters.iter().filter(|v| v.id != view.leader);
    let key = |v: &&Replica| (voters_in(&view.voter_set, &v.data_centre), v.host.clone());
    let voter = others.max_by_key(key)?;
    Some(without_voter(&view.voter_set, voter.id))
}

/// Returns the number of voters to keep. An even set above the target tolerates no more failures than
/// the odd one below it.
fn desired_voter_count(view: &MembershipView) -> usize {
    let count = view.voter_set.voters.len();
    match count > view.target_voters && count.is_multiple_of(2) {
        true => count - 1,
        false => count.max(view.target_voters),
    }
}

/// Returns the voters that may be replaced.
fn lost_voters(view: &MembershipView) -> impl Iterator<Item = &Replica> {
    view.voter_set.voters.iter().filter(|v| v.id != view.leader && view.is_lost(v.id))
}

/// Promotes the learner that spreads the voters best over data centres, while fewer voters than desired
/// are healthy.
fn promote_learner(view: &MembershipView) -> Option<VoterSet> {
    let healthy = view.voter_set.voters.len() - lost_voters(view).count();
    if healthy >= desired_voter_count(view) || view.voter_set.voters.len() >= MAX_VOTERS {
        return None;
    }
    let has_voter = |l: &Replica| view.voter_set.voters.iter().any(|v| v.host == l.host);
    let ready = view.voter_set.learners.iter().filter(|l| view.is_caught_up(l.id) && !has_voter(l));
    let sets = ready.map(|learner| (learner, with_voter(&view.voter_set, learner)));
    let best = sets.min_by_key(|(learner, set)| {
        let here = voters_in(set, &learner.data_centre);
        (here >= set.quorum(), here, learner.host.clone())
    });
    best.map(|(_, set)| set)
}

/// Drops a lost learner, so that another one can be added.
fn drop_lost_learner(view: &MembershipView) -> Option<VoterSet> {
    let lost = view.voter_set.learners.iter().find(|l| view.is_lost(l.id))?;
    Some(without_learner(&view.voter_set, lost.id))
}

/// Adds an announced replica as a learner, in place of an older learner of the same host.
fn add_announced_learner(view: &MembershipView) -> Option<VoterSet> {
    let known = |r: &Replica| view.voter_set.all().any(|known| known.id == r.id);
    view.announced.iter().filter(|r| !known(r)).find_map(|r| {
        let mut set = view.voter_set.clone();
        set.learners.retain(|l| l.host != r.host);
        let replaces = set.voters.iter().any(|v| v.host == r.host);
        // The successor of a voter is added beyond the limit, since the replacement of that voter
        // depends on it.
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
