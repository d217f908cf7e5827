use std::sync::Arc;

use super::limits::{OBSERVER_GRACE_PERIOD, TOMBSTONE_RETENTION};
use super::{EndpointRecord, EndpointState, Lease, LoadReport};
use crate::membership::limits::DIGEST_RETENTION;
use masticstair_core::unit::Timestamp;

/// An endpoint in the table of a host.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The record that supersedes all others received so far.
    pub record: Arc<EndpointRecord>,
    /// When this host made or received the record.
    pub changed_at: Timestamp,
    /// The lease that this host granted; `None` if this incarnation never announced itself here.
    pub lease: Option<Lease>,
    /// Since when the observer has been gone; `None` while it is alive or suspected.
    pub orphaned_since: Option<Timestamp>,
    /// The last load report and when it was received.
    pub load: Option<(LoadReport, Timestamp)>,
}

impl EndpointEntry {
    /// Returns whether the endpoint may receive new work.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.record.state == EndpointState::Ready && !self.has_outlived_observer(now)
    }

    /// Returns whether its observer has been gone for at least `OBSERVER_GRACE_PERIOD`.
    pub fn has_outlived_observer(&self, now: Timestamp) -> bool {
        self.orphaned_since.is_some_and(|since| now.since(since) >= OBSERVER_GRACE_PERIOD)
    }

    /// Returns whether digests contain the record.
    pub fn is_in_digest(&self, now: Timestamp) -> bool {
        let not_ready = self.record.state != EndpointState::Ready;
        !self.has_outlived_observer(now)
            && (!not_ready || now.since(self.changed_at) < DIGEST_RETENTION)
    }

    /// Returns whether the record can be removed from the table.
    pub fn is_removable(&self, now: Timestamp) -> bool {
        let not_ready = self.record.state != EndpointState::Ready;
        not_ready && now.since(self.changed_at) >= TOMBSTONE_RETENTION
            || self.orphaned_since.is_some_and(|since| now.since(since) >= TOMBSTONE_RETENTION)
    }
}
