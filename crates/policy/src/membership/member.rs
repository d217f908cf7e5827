use std::sync::Arc;

use super::limits::{DIGEST_RETENTION, FAILED_RETENTION, LEFT_RETENTION};
use super::{HostRecord, HostState};
use masticstair_core::unit::Timestamp;

/// A host in the member table of another host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest known record.
    pub record: Arc<HostRecord>,
    /// When this host received the record, or changed it.
    pub changed_at: Timestamp,
    /// When this host last received a message from the member; `None` before the first one.
    pub last_seen: Option<Timestamp>,
    /// When the suspicion becomes a failure; set exactly while the state is `Suspect`.
    pub suspect_until: Option<Timestamp>,
}

impl Member {
    /// Returns whether the host counts as live: it is alive or only suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.record.state, HostState::Alive | HostState::Suspect)
    }

    /// Returns whether digests contain the record.
    pub fn is_in_digest(&self, now: Timestamp) -> bool {
        self.is_live() || now.since(self.changed_at) < DIGEST_RETENTION
    }

    /// Returns whether the retention of the record has passed.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let age = now.since(self.changed_at);
        match self.record.state {
            HostState::Alive | HostState::Suspect => false,
            HostState::Failed => age >= FAILED_RETENTION,
            HostState::Left => age >= LEFT_RETENTION,
        }
    }
}
