//! The replicated lease and fencing token of the order issuer.
//!
//! A group is a pool of engines, and only the holder of its lease may send orders to them. Every order carries
//! the fencing token, so that an engine can refuse the orders of an earlier holder.
//!
//! The replicas read no clock: a challenger takes over a lease only by naming a renewal count that it has
//! seen unchanged. `LeaseTiming` documents for how long, and the margin for clock drift.

mod holder;
mod issuer_command;
mod issuer_lease;
mod issuer_reply;
mod lease_timing;
mod renewal_count;

pub use holder::Holder;
pub use issuer_command::IssuerCommand;
pub use issuer_lease::IssuerLease;
pub use issuer_reply::IssuerReply;
pub use lease_timing::LeaseTiming;
pub use renewal_count::RenewalCount;

use masticstair_core::id::FencingToken;
use masticstair_core::prelude::*;
use std::collections::BTreeMap;

/// The largest number of groups. A lease is never removed, since its fencing token must not decrease; the
/// limit bounds the table when pools are created and removed under new names.
pub const MAX_GROUPS: usize = 1_024;

/// The replicated leases of all groups.
#[derive(Debug, Default)]
pub struct IssuerTable {
    /// At most `MAX_GROUPS`.
    leases: BTreeMap<PoolName, IssuerLease>,
}

impl IssuerTable {
    /// Restores a table from the parts of a snapshot.
    pub fn from_parts(leases: impl IntoIterator<Item = (PoolName, IssuerLease)>) -> Self {
        Self { leases: leases.into_iter().collect() }
    }

    /// Returns the lease of a group; for an unknown group, the default lease, which has no holder.
    pub fn lease(&self, group: &PoolName) -> IssuerLease {
        self.leases.get(group).cloned().unwrap_or_default()
    }

    /// Returns every lease, ordered by group.
    pub fn leases(&self) -> impl ExactSizeIterator<Item = (&PoolName, &IssuerLease)> {
        self.leases.iter()
    }

    /// Applies a command from the log. The reply depends only on the commands applied before.
    pub fn apply(&mut self, cmd: &IssuerCommand) -> IssuerReply {
        let group = cmd.group();
        if !self.leases.contains_key(group) && self.leases.len() >= MAX_GROUPS {
            return IssuerReply::Full(MAX_GROUPS as u32);
        }
        let lease = self.leases.entry(group.clone()).or_default();
        match cmd {
            IssuerCommand::Acquire { holder, observed_renewals, .. } => {
                acquire(lease, holder, *observed_renewals)
            }
            IssuerCommand::Renew { holder, fencing, .. } => renew(lease, holder, *fencing),
            IssuerCommand::Release { holder, fencing, .. } => release(lease, holder, *fencing),
        }
    }
}

fn acquire(
    lease: &mut IssuerLease,
    holder: &Holder,
    observed_renewals: Option<RenewalCount>,
) -> IssuerReply {
    let held_by_other = lease.holder.as_ref().is_some_and(|current| current != holder);
    if held_by_other && observed_renewals != Some(lease.renewals) {
        return IssuerReply::Refused(lease.clone());
    }
    if lease.holder.as_ref() != Some(holder) {
        lease.holder = Some(holder.clone());
        lease.fencing = FencingToken::new(lease.fencing.get().saturating_add(1));
    }
    // A holder that acquires again measures its lease from then on, so challengers must see a new count.
    count_renewal(lease);
    IssuerReply::Granted(lease.clone())
}

fn renew(lease: &mut IssuerLease, holder: &Holder, fencing: FencingToken) -> IssuerReply {
    if !is_held_by(lease, holder, fencing) {
        return IssuerReply::Refused(lease.clone());
    }
    count_renewal(lease);
    IssuerReply::Granted(lease.clone())
}

fn release(lease: &mut IssuerLease, holder: &Holder, fencing: FencingToken) -> IssuerReply {
    if is_held_by(lease, holder, fencing) {
        lease.holder = None;
        count_renewal(lease);
    } else if lease.holder.is_some() || lease.fencing != fencing {
        return IssuerReply::Refused(lease.clone());
    }
    IssuerReply::Released(lease.clone())
}

fn is_held_by(lease: &IssuerLease, holder: &Holder, fencing: FencingToken) -> bool {
    lease.holder.as_ref() == Some(holder) && lease.fencing == fencing
}

fn count_renewal(lease: &mut IssuerLease) {
    lease.renewals = RenewalCount::new(lease.renewals.get().saturating_add(1));
}
