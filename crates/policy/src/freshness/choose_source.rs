use masticstair_core::prelude::*;

use super::SourceCandidate;
use crate::engine_choice::rendezvous_order;

/// Chooses the control host that sends `subscriber` the content of new catalogs; the others only tell their version. One
/// that answers goes first, then one in the same data centre. Subscribers spread over the rest.
pub fn choose_source<'a>(
    subscriber: &HostId,
    candidates: &[SourceCandidate<'a>],
) -> Option<&'a HostId> {
    let names = candidates.iter().map(|c| c.host.as_str().as_bytes());
    let order = rendezvous_order(subscriber.as_str().as_bytes(), names);
    let rank = |n: &&usize| candidates.get(**n).map_or((true, true), |c| (!c.answers, !c.is_near));
    let first = order.iter().min_by_key(rank)?;
    candidates.get(*first).map(|c| c.host)
}
