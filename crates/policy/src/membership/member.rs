use std::sync::Arc;

use super::limits::{DIGEST_RETENTION, FAILED_RETENTION, LEFT_RETENTION};
use super::{HostRecord, HostState};
use masticstair_core::unit::Timestamp;

/// A host in the table of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest record.
    pub record: Arc<HostRecord>,
    /// When this host learned of the record.
    pub changed: Timestamp,
    /// When this host last got a message from the other one, if ever.
    pub last_seen: Option<Timestamp>,
    /// When a suspicion becomes a failure; set exactly while the state is `Suspect`.
    pub suspect_until: Option<Timestamp>,
}

impl Member {
    /// Tells whether the host takes part: it is alive or only suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.record.state, HostState::Alive | HostState::Suspect)
    }

    /// Tells whether digests contain the record.
    pub fn is_in_digest(&self, now: Timestamp) -> bool {
        self.is_live() || now.since(self.changed) < DIGEST_RETENTION
    }

    /// Tells whether the record can be forgotten.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let age = now.since(self.changed);
        match self.record.state {
            HostState::Alive | HostState::Suspect => false,
            HostState::Failed => age >= FAILED_RETENTION,
            HostState::Left => age >= LEFT_RETENTION,
        }
    }
}
