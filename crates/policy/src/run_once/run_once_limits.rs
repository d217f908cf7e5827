use masticstair_core::bundle::Limits;
use masticstair_core::prelude::*;

/// The limits of the table, from the bundle in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOnceLimits {
    /// How long a record is kept before it expires.
    pub retention: Millis,
    /// The largest number of records; further claims are refused.
    pub max_records: u32,
    /// The largest answer that a record stores; of larger ones it stores the digest and the length.
    pub max_answer_size: ByteCount,
    /// The largest number of digests of expired keys without a timestamp. Records that will leave a digest
    /// count as well, so that expiry never has to discard a digest.
    pub max_expired_keys: u32,
}

impl RunOnceLimits {
    /// The limits before the first bundle. No pipeline exists then, so no claim is granted.
    pub const BEFORE_FIRST_BUNDLE: Self = Self {
        retention: Millis::new(7 * 86_400_000),
        max_records: 0,
        max_answer_size: ByteCount::new(0),
        max_expired_keys: 0,
    };
}

impl From<&Limits> for RunOnceLimits {
    fn from(limits: &Limits) -> Self {
        Self {
            retention: limits.run_once_retention,
            max_records: limits.run_once_records,
            max_answer_size: limits.run_once_answer,
            max_expired_keys: limits.expired_keys,
        }
    }
}
