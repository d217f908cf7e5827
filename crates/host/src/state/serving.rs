//! Decides whether this host may serve. It doesn't serve for long under a revision that it knows to be
//! superseded.

use masticstair_core::prelude::*;
use std::sync::Arc;
use std::time::Duration;

use super::{BundleInForce, HostState, NotServing};
use crate::membership::MembershipSnapshot;

/// How long a host serves under its revision after it learns of a newer one. A configuration must be in force
/// on every host within this time.
const MAX_BEHIND: Duration = Duration::from_secs(4);

impl HostState {
    /// Returns the bundle under which a new request runs.
    ///
    /// # Errors
    ///
    /// Returns the reason why this host serves no requests.
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
