use masticstair_core::id::{HostId, Term};
use masticstair_core::message::{Replica, VoterSet};

use super::{FormationAnswer, FormationDecision};

/// Decides whether this replica forms the group, from the answers of all initial voters including
/// itself.
///
/// Every replica derives the same set, and only the first host of the sorted set writes it; the others
/// receive it through the log. If each replica wrote the set itself, a host that lost its disk between
/// two answers could leave two different initial sets, whose majorities need not overlap.
pub fn decide_formation(
    local_replica: &Replica,
    initial: &[HostId],
    answers: &[FormationAnswer],
) -> FormationDecision {
    if !initial.contains(&local_replica.host) || answers.iter().any(|a| !a.log_is_empty) {
        return FormationDecision::Join;
    }
    let Some(voters) = first_voters(initial, answers) else { return FormationDecision::Wait };
    if voters.voters.first().map(|r| r.id) != Some(local_replica.id) {
        return FormationDecision::Wait;
    }
    let highest = answers.iter().map(|a| a.term.get()).max().unwrap_or(0);
    FormationDecision::Form { voters: Box::new(voters), term: Term::new(highest + 1) }
}

/// Returns the initial voters, sorted by host, if exactly one replica of every initial host answered.
fn first_voters(initial: &[HostId], answers: &[FormationAnswer]) -> Option<VoterSet> {
    let mut hosts = initial.to_vec();
    hosts.sort();
    hosts.dedup();
    let find = |host: &HostId| {
        let mut of_host = answers.iter().filter(|a| a.replica.host == *host);
        let first = of_host.next()?.replica.clone();
        of_host.all(|a| a.replica == first).then_some(first)
    };
    let voters = hosts.iter().map(find).collect::<Option<_>>()?;
    Some(VoterSet { voters, ..VoterSet::default() })
}
