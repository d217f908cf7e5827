use masticstair_core::id::FencingToken;

use super::{Holder, RenewalCount};

/// The lease of one group; by default without a holder, and with counters of 0.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IssuerLease {
    /// The process that may issue orders; `None` before the first grant and after a release.
    pub holder: Option<Holder>,
    /// The fencing token that the holder's orders carry; increases by one with each new holder.
    pub fencing: FencingToken,
    /// Increases with every grant, renewal and release, so that a challenger detects a live holder.
    pub renewals: RenewalCount,
}
