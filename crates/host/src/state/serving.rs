//! Whether this host may serve: never under a revision that is known to be superseded for long.

use masticstair_core::prelude::*;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

use super::{BundleInForce, HostState};
use crate::membership::MembershipSnapshot;

/// How long a host serves under its revision after it has heard of a newer one. A configuration is to be
/// in force everywhere within this time.
const MAX_BEHIND: Duration = Duration::from_secs(4);

/// Since when a newer revision is known than the one in force here.
#[derive(Debug, Default)]
pub(super) struct BehindSince(Mutex<Option<Timestamp>>);

/// The reason for which a host serves nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NotServing {
    /// The control thread has not started.
    #[error("the host is still starting")]
    Starting,
    /// No other host has answered since the start, so a newer revision may exist.
    #[error("no other host has answered yet")]
    NotSynced,
    /// Another process with the name of this host is newer.
    #[error("incarnation {0} of this host is known, which is later than this process")]
    Superseded(Incarnation),
    /// There is no bundle.
    #[error("no bundle is in force")]
    NoBundle,
    /// A newer revision could not be fetched.
    #[error("revision {newest} is known, but only {held} is held here")]
    Behind {
        /// The revision in force here.
        held: Revision,
        /// The newest revision that is known.
        newest: Revision,
    },
}

impl HostState {
    /// Returns the bundle under which a new request runs.
    ///
    /// # Errors
    ///
    /// Tells why this host serves nothing.
    pub fn serving(&self) -> Result<Arc<BundleInForce>, NotServing> {
        let membership = self.membership.get().ok_or(NotServing::Starting)?;
        let snapshot = membership.snapshot();
        check_membership(&snapshot)?;
        let in_force = self.in_force.get().ok_or(NotServing::NoBundle)?;
        self.check_revision(in_force.revision, snapshot.newest_revision)?;
        Ok(in_force)
    }

    fn check_revision(&self, held: Revision, newest: Revision) -> Result<(), NotServing> {
        let mut since = self.behind_since.0.lock();
        if held >= newest {
            *since = None;
            return Ok(());
        }
        let now = self.clock.now();
        let behind = now.since(*since.get_or_insert(now));
        if behind < MAX_BEHIND { Ok(()) } else { Err(NotServing::Behind { held, newest }) }
    }
}

fn check_membership(snapshot: &MembershipSnapshot) -> Result<(), NotServing> {
    if let Some(incarnation) = snapshot.superseded {
        return Err(NotServing::Superseded(incarnation));
    }
    if snapshot.synced { Ok(()) } else { Err(NotServing::NotSynced) }
}
