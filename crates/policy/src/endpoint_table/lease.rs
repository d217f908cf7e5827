use super::limits::{LEASE, RENEWAL_GAP};
use masticstair_core::unit::Timestamp;

/// What this host heard from an endpoint itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// When the endpoint last announced itself here.
    pub renewed: Timestamp,
    /// Announcements here without a gap in which another host could have got one.
    pub streak: u32,
}

impl Lease {
    /// Begins or renews a lease.
    pub fn renew(now: Timestamp, previous: Option<Self>) -> Self {
        let streak = match previous {
            Some(lease) if now.since(lease.renewed) <= RENEWAL_GAP => {
                lease.streak.saturating_add(1)
            }
            _ => 1,
        };
        Self { renewed: now, streak }
    }

    /// Tells whether the lease runs.
    pub fn is_valid(self, now: Timestamp) -> bool {
        now.since(self.renewed) < LEASE
    }
}
