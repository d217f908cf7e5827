use crate::id::AccountId;
use crate::unit::{RatePerSecond, Sha256Digest, Slots, Weight};

/// A client account with its limits, which hold over all hosts together.
#[derive(Clone, Debug)]
pub struct Account {
    /// Unique in the bundle.
    pub id: AccountId,
    /// The digest of the bearer token; the token itself is stored nowhere.
    pub token: Sha256Digest,
    /// The share in fair queueing; at least 1.
    pub weight: Weight,
    /// The rate at which requests are admitted in the long run.
    pub rate: RatePerSecond,
    /// How many requests may come at once above the rate.
    pub burst: Slots,
    /// How many requests may run at the same time.
    pub concurrency: Slots,
}
