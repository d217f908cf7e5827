use crate::id::AccountId;
use crate::unit::{RatePerSecond, Sha256Digest, Slots, Weight};

/// A client account. Its limits apply to the sum over all hosts.
#[derive(Clone, Debug)]
pub struct Account {
    /// Unique in the bundle.
    pub id: AccountId,
    /// The SHA-256 digest of the bearer token; the token itself is not stored.
    pub token: Sha256Digest,
    /// The relative share in fair queueing, from 1 to 1,000.
    pub weight: Weight,
    /// The sustained rate at which requests are admitted; above 0.
    pub rate: RatePerSecond,
    /// The number of requests that are admitted at once above the rate.
    pub burst: Slots,
    /// The number of requests that may run concurrently.
    pub concurrency: Slots,
}
