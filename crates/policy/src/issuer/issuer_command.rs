use masticstair_core::id::FencingNumber;
use masticstair_core::prelude::*;

use super::{Holder, RenewalCount};

/// A command for the lease of one group. The group is the pool whose engines take the orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IssuerCommand {
    /// Asks for the lease.
    Acquire {
        /// The group.
        group: PoolName,
        /// The process that asks.
        holder: Holder,
        /// The count that the challenger has seen unchanged for the time that `LeaseTiming` gives;
        /// needed only while another process holds the lease.
        observed_renewals: Option<RenewalCount>,
    },
    /// Keeps the lease.
    Renew {
        /// The group.
        group: PoolName,
        /// The process that holds the lease.
        holder: Holder,
        /// The number that it got with the lease.
        fencing: FencingNumber,
    },
    /// Gives the lease back; certifies that no order of the holder is in flight.
    Release {
        /// The group.
        group: PoolName,
        /// The process that holds the lease.
        holder: Holder,
        /// The number that it got with the lease.
        fencing: FencingNumber,
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
