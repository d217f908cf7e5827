use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use crate::engine_choice::rendezvous_weight;

/// For this time after a control host was last seen alive, it still counts as the owner of its endpoints; and a control host
/// gives permits only after it has been in touch with a majority for this time. A host that is cut off notices after at most
/// as long, so two hosts never give permits for one endpoint at a time.
pub const OWNER_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Whether this control host gives the permits for cold endpoints. Only one host may, since each one has its own bucket.
#[derive(Debug, Default)]
pub struct PermitOwnership {
    /// When each other control host was last seen alive.
    last_alive: HashMap<HostId, Timestamp>,
    /// Since when this host has been in touch with a majority of the control hosts; none if it is not.
    in_touch_since: Option<Timestamp>,
}

impl PermitOwnership {
    /// Records which other control hosts are alive, and whether this host is in touch with a majority of them.
    pub fn observe<'a>(
        &mut self,
        now: Timestamp,
        alive: impl Iterator<Item = &'a HostId>,
        has_majority: bool,
    ) {
        for host in alive {
            match self.last_alive.get_mut(host) {
                Some(at) => *at = now,
                None => drop(self.last_alive.insert(host.clone(), now)),
            }
        }
        self.last_alive.retain(|_, at| now.since(*at) < OWNER_SETTLE_TIME);
        self.in_touch_since = if has_majority { self.in_touch_since.or(Some(now)) } else { None };
    }

    /// Returns whether this host gives the permits of an endpoint, after `observe` at the same time.
    pub fn is_owner(&self, now: Timestamp, own: &HostId, endpoint: &EndpointId) -> bool {
        let has_settled =
            self.in_touch_since.is_some_and(|since| now.since(since) >= OWNER_SETTLE_TIME);
        let weight = |host: &HostId| {
            rendezvous_weight(endpoint.as_str().as_bytes(), host.as_str().as_bytes())
        };
        let own_weight = weight(own);
        has_settled && self.last_alive.keys().all(|other| weight(other) < own_weight)
    }
}
