use masticstair_core::endpoint_api::{Announcement, EndpointState};
use masticstair_core::id::ModelName;
use masticstair_core::prelude::*;
use parking_lot::Mutex;
use std::collections::HashMap;
use thiserror::Error;

/// How long an announcement holds without a renewal.
pub const ENDPOINT_LEASE: Millis = Millis::new(1_500);

/// The endpoints that have announced themselves.
#[derive(Debug, Default)]
pub struct EndpointDirectory(Mutex<HashMap<EndpointId, DirectoryEntry>>);

/// One endpoint.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// What it last announced.
    pub announcement: Announcement,
    /// When it announced that.
    pub announced: Timestamp,
    /// When that announcement ends without a renewal.
    pub expires: Timestamp,
}

/// The reason for which an announcement is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnnounceError {
    /// A later life of the endpoint is known.
    #[error("endpoint {id:?} has incarnation {known}, which is higher than {given}")]
    OldIncarnation {
        /// The endpoint.
        id: EndpointId,
        /// The incarnation that is known.
        known: Incarnation,
        /// The incarnation that was announced.
        given: Incarnation,
    },
    /// The endpoint has said that it leaves.
    #[error("endpoint {0:?} has left with this incarnation")]
    Left(EndpointId),
}

impl EndpointDirectory {
    /// Records an announcement.
    ///
    /// # Errors
    ///
    /// Refuses an old incarnation and the return of one that left.
    pub fn announce(
        &self,
        now: Timestamp,
        id: EndpointId,
        announcement: Announcement,
    ) -> Result<(), AnnounceError> {
        let mut entries = self.0.lock();
        if let Some(known) = entries.get(&id) {
            let (old, new) = (known.announcement.incarnation, announcement.incarnation);
            if new < old {
                return Err(AnnounceError::OldIncarnation { id, known: old, given: new });
            }
            let left = known.announcement.state == EndpointState::Leaving;
            if new == old && left && announcement.state == EndpointState::Ready {
                return Err(AnnounceError::Left(id));
            }
        }
        let expires = now.plus(ENDPOINT_LEASE.duration());
        entries.insert(id, DirectoryEntry { announcement, announced: now, expires });
        Ok(())
    }

    /// Records that an endpoint left.
    pub fn leave(&self, id: &EndpointId, incarnation: Incarnation) {
        if let Some(entry) = self.0.lock().get_mut(id)
            && entry.announcement.incarnation == incarnation
        {
            entry.announcement.state = EndpointState::Leaving;
        }
    }

    /// Returns the endpoints of a pool that take new work and, for a stage with a model, hold it.
    pub fn ready(
        &self,
        now: Timestamp,
        pool: &PoolName,
        model: Option<&ModelName>,
    ) -> Vec<(EndpointId, DirectoryEntry)> {
        let entries = self.0.lock();
        let ready = entries.iter().filter(|(_, e)| {
            let announcement = &e.announcement;
            announcement.pool == *pool
                && announcement.state == EndpointState::Ready
                && e.expires > now
                && model.is_none_or(|m| announcement.models.iter().any(|l| l.name == *m))
        });
        ready.map(|(id, e)| (id.clone(), e.clone())).collect()
    }
}
