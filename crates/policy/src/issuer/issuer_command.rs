use masticstair_core::id::FencingToken;
use masticstair_core::prelude::*;

use super::{Holder, RenewalCount};

/// A command on the lease of one group. The group is the pool whose engines receive the orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IssuerCommand {
    /// Requests the lease.
    Acquire {
        /// The group whose lease the command concerns.
        group: PoolName,
        /// The process that requests the lease.
        holder: Holder,
        /// The count that the challenger has seen unchanged for the time that `LeaseTiming` requires;
        /// needed only while another process holds the lease.
        observed_renewals: Option<RenewalCount>,
    },
    /// Renews the lease of the current holder.
    Renew {
        /// The group whose lease the command concerns.
        group: PoolName,
        /// The process that holds the lease.
        holder: Holder,
        /// The fencing token that was granted with the lease.
        fencing: FencingToken,
    },
    /// Releases the lease; certifies that no order of the holder is in flight.
    Release {
        /// The group whose lease the command concerns.
        group: PoolName,
        /// The process that holds the lease.
        holder: Holder,
        /// The fencing token that was granted with the lease.
        fencing: FencingToken,
    },
}

impl IssuerCommand {
    /// Returns the group of the command.
    pub const fn group(&self) -> &PoolName {
        match self {
            Self::Acquire { group, .. }
            | Self::Renew { group, .. }
            | Self::Release { group, .. } => group,
        }
    }
}
