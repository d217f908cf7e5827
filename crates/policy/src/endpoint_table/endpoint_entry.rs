use std::sync::Arc;

use super::limits::{OBSERVER_GRACE_PERIOD, TOMBSTONE_RETENTION};
use super::{EndpointRecord, EndpointState, Lease, LoadReport};
use crate::membership::limits::DIGEST_RETENTION;
use masticstair_core::unit::Timestamp;

/// An endpoint in the table of a host.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The newest record.
    pub record: Arc<EndpointRecord>,
    /// When this host learned of the record.
    pub changed_at: Timestamp,
    /// What this host heard from the endpoint itself.
    pub lease: Option<Lease>,
    /// Since when the observer is not known to be alive.
    pub orphaned_since: Option<Timestamp>,
    /// The last load report and when it came.
    pub load: Option<(LoadReport, Timestamp)>,
}

impl EndpointEntry {
    /// Tells whether the endpoint may get new work.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.record.state == EndpointState::Ready && !self.has_outlived_observer(now)
    }

    /// Tells whether its observer has been gone for longer than the grace time.
    pub fn has_outlived_observer(&self, now: Timestamp) -> bool {
        self.orphaned_since.is_some_and(|since| now.since(since) >= OBSERVER_GRACE_PERIOD)
    }

    /// Tells whether digests contain the record.
    pub fn is_in_digest(&self, now: Timestamp) -> bool {
        let not_ready = self.record.state != EndpointState::Ready;
        !self.has_outlived_observer(now)
            && (!not_ready || now.since(self.changed_at) < DIGEST_RETENTION)
    }

    /// Tells whether the record can be forgotten.
    pub fn is_removable(&self, now: Timestamp) -> bool {
        let not_ready = self.record.state != EndpointState::Ready;
        not_ready && now.since(self.changed_at) >= TOMBSTONE_RETENTION
            || self.orphaned_since.is_some_and(|since| now.since(since) >= TOMBSTONE_RETENTION)
    }
}
