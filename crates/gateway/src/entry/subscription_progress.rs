use masticstair_core::prelude::*;
use slog::{info, warn};
use std::time::Duration;

use crate::Gateway;

/// How long a control host may wait for an update. A connection that is dead without an error is detected some time after
/// it.
pub(super) const UPDATE_WAIT: Duration = Duration::from_millis(500);

/// After a reply that travelled for longer, or none, the next request is answered at once: what this host has confirmed is
/// too old by then to wait for an update.
const LATE_REPLY: Duration = Duration::from_millis(250);

/// What the last request to a control host means for the next one.
#[derive(Debug)]
pub(super) struct SubscriptionProgress {
    pub(super) is_disconnected: bool,
    /// Whether the control host told a version that this host still lacks, and nobody has sent another one.
    pub(super) is_overdue: bool,
    /// Whether the catalog that it sent cannot be read.
    pub(super) is_unreadable: bool,
    /// How long it may wait for an update.
    pub(super) wait: Duration,
}

impl Default for SubscriptionProgress {
    fn default() -> Self {
        Self { is_disconnected: false, is_overdue: false, is_unreadable: false, wait: UPDATE_WAIT }
    }
}

impl SubscriptionProgress {
    /// Records a reply that tells what `host` held at `held_at`.
    pub(super) fn record_reply(&mut self, gw: &Gateway, host: &HostId, held_at: Timestamp) {
        if std::mem::take(&mut self.is_disconnected) {
            info!(gw.log, "control host reachable again"; "peer" => %host);
        }
        let is_late = gw.now().since(held_at) > LATE_REPLY;
        self.wait = if is_late { Duration::ZERO } else { UPDATE_WAIT };
    }

    /// Records that `host` did not reply.
    pub(super) fn record_failure(&mut self, gw: &Gateway, host: &HostId, reason: &str) {
        if !std::mem::replace(&mut self.is_disconnected, true) {
            warn!(gw.log, "control host unreachable; retrying"; "peer" => %host,
                "reason" => reason);
        }
        self.wait = Duration::ZERO;
    }
}
