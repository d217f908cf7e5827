use super::limits::{LEASE_DURATION, MAX_RENEWAL_GAP};
use masticstair_core::unit::Timestamp;

/// The lease of an endpoint that announces itself to this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// When the endpoint last announced itself here.
    pub renewed_at: Timestamp,
    /// Announcements to this host without a gap in which another host could have received one.
    pub consecutive_renewals: u32,
}

impl Lease {
    /// Grants or renews a lease.
    pub fn renew(now: Timestamp, previous: Option<Self>) -> Self {
        let consecutive_renewals = match previous {
            Some(lease) if now.since(lease.renewed_at) <= MAX_RENEWAL_GAP => {
                lease.consecutive_renewals.saturating_add(1)
            }
            _ => 1,
        };
        Self { renewed_at: now, consecutive_renewals }
    }

    /// Returns whether the lease has not expired.
    pub fn is_valid(self, now: Timestamp) -> bool {
        now.since(self.renewed_at) < LEASE_DURATION
    }
}
