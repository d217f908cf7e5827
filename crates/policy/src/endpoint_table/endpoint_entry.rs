use std::sync::Arc;

use super::limits::{GONE_RETENTION, OBSERVER_GRACE};
use super::{EndpointRecord, EndpointState, Lease, LoadReport};
use crate::membership::limits::DIGEST_RETENTION;
use masticstair_core::unit::Timestamp;

/// An endpoint in the table of a host.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The newest record.
    pub record: Arc<EndpointRecord>,
    /// When this host learned of the record.
    pub changed: Timestamp,
    /// What this host heard from the endpoint itself.
    pub lease: Option<Lease>,
    /// Since when the observer is not known to be alive.
    pub orphaned: Option<Timestamp>,
    /// The last load report and when it came.
    pub load: Option<(LoadReport, Timestamp)>,
}

impl EndpointEntry {
    /// Tells whether the endpoint may get new work.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.record.state == EndpointState::Ready && !self.is_lapsed(now)
    }

    /// Tells whether its observer has been gone for longer than the grace time.
    pub fn is_lapsed(&self, now: Timestamp) -> bool {
        self.orphaned.is_some_and(|since| now.since(since) >= OBSERVER_GRACE)
    }

    /// Tells whether digests contain the record.
    pub fn is_in_digest(&self, now: Timestamp) -> bool {
        let gone = self.record.state != EndpointState::Ready;
        !self.is_lapsed(now) && (!gone || now.since(self.changed) < DIGEST_RETENTION)
    }

    /// Tells whether the record can be forgotten.
    pub fn is_forgettable(&self, now: Timestamp) -> bool {
        let gone = self.record.state != EndpointState::Ready;
        gone && now.since(self.changed) >= GONE_RETENTION
            || self.orphaned.is_some_and(|since| now.since(since) >= GONE_RETENTION)
    }
}
