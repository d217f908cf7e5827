use masticstair_core::id::FencingNumber;

use super::{Holder, RenewalCount};

/// The lease of one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IssuerLease {
    /// The process that may issue orders; none before the first and after a release.
    pub holder: Option<Holder>,
    /// The number that the holder's orders carry; only rises, by one with each new holder.
    pub fencing: FencingNumber,
    /// Changes with every grant and renewal, so that a challenger sees a live holder.
    pub renewals: RenewalCount,
}
