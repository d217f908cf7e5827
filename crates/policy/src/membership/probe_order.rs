use std::collections::BTreeSet;

use masticstair_core::id::HostId;
use masticstair_core::unit::Draw;

/// The order in which a host probes its peers: rounds that contain each peer once, in a new random order.
///
/// With n peers, any 2n consecutive probes reach each peer; independent random choices have no such bound.
/// Source: SWIM, section 4.3.
#[derive(Clone, Debug, Default)]
pub struct ProbeOrder {
    /// The peers that are left to probe in this round, the next one last.
    remaining: Vec<HostId>,
}

impl ProbeOrder {
    /// Returns the next of the `eligible` peers. Other peers lose their place in this round.
    pub fn next(
        &mut self,
        eligible: &BTreeSet<HostId>,
        mut draw: impl FnMut() -> Draw,
    ) -> Option<HostId> {
        if eligible.is_empty() {
            return None;
        }
        loop {
            match self.remaining.pop() {
                Some(host) if eligible.contains(&host) => return Some(host),
                Some(_) => {}
                None => self.remaining = shuffled(eligible, &mut draw),
            }
        }
    }
}

fn shuffled(hosts: &BTreeSet<HostId>, draw: &mut impl FnMut() -> Draw) -> Vec<HostId> {
    let mut hosts: Vec<_> = hosts.iter().cloned().collect();
    for i in (1..hosts.len()).rev() {
        let other = (draw().fraction() * (i + 1) as f64) as usize;
        hosts.swap(i, other.min(i));
    }
    hosts
}
