use masticstair_core::message::VoterSet;
use std::collections::BTreeSet;

use super::{ChangeError, MembershipView};

pub(crate) const MAX_VOTERS: usize = 7;

/// Checks whether a membership change may be proposed now.
///
/// Majorities of two sets are sure to overlap only if the sets differ by at most one voter and the
/// earlier change is committed. A leader without a committed entry in its term may not know of a
/// competing change.
pub(crate) fn check_change(view: &MembershipView, new: &VoterSet) -> Result<(), ChangeError> {
    if !view.term_committed {
        return Err(ChangeError::TermNotCommitted);
    }
    if let Some(index) = view.uncommitted_change {
        return Err(ChangeError::InProgress(index));
    }
    check_member_list(new)?;
    check_difference(view, new)?;
    let live = new.voters.iter().filter(|r| view.is_live(r.id)).count();
    if live < new.quorum() {
        return Err(ChangeError::NoLiveQuorum { live, quorum: new.quorum() });
    }
    Ok(())
}

fn check_member_list(new: &VoterSet) -> Result<(), ChangeError> {
    if new.voters.is_empty() || new.voters.len() > MAX_VOTERS {
        return Err(ChangeError::VoterCount(new.voters.len()));
    }
    let mut seen = BTreeSet::new();
    match new.all().find(|r| !seen.insert(r.id)) {
        Some(twice) => Err(ChangeError::Duplicate(twice.id)),
        None => Ok(()),
    }
}

fn check_difference(view: &MembershipView, new: &VoterSet) -> Result<(), ChangeError> {
    let old = &view.voter_set;
    let removed = old.voters.iter().filter(|r| !new.is_voter(r.id)).count();
    let mut added = new.voters.iter().filter(|r| !old.is_voter(r.id));
    let first = added.next();
    let changes = removed + usize::from(first.is_some()) + added.count();
    if changes > 1 {
        return Err(ChangeError::TooManyChanges(changes));
    }
    match first {
        Some(r) if !old.learners.contains(r) || !view.is_caught_up(r.id) => {
            Err(ChangeError::NotCaughtUp(r.id))
        }
        _ => Ok(()),
    }
}
