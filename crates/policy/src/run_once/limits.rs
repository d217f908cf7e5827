use masticstair_core::bundle::Limits;
use masticstair_core::prelude::*;

/// The limits of the table, from the bundle in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOnceLimits {
    /// How long a record is kept.
    pub retention: Millis,
    /// How many records are kept at the most.
    pub records: u32,
    /// The largest answer that a record keeps.
    pub answer: ByteCount,
    /// How many digests of keys without a time are kept at the most; records that will leave a digest
    /// count as well, so that expiry never has to forget a key.
    pub expired_keys: u32,
}

impl RunOnceLimits {
    /// The limits before the first bundle. No pipeline exists then, so no claim is granted.
    pub const BEFORE_FIRST_BUNDLE: Self = Self {
        retention: Millis::new(7 * 86_400_000),
        records: 0,
        answer: ByteCount::new(0),
        expired_keys: 0,
    };
}

impl From<&Limits> for RunOnceLimits {
    fn from(limits: &Limits) -> Self {
        Self {
            retention: limits.run_once_retention,
            records: limits.run_once_records,
            answer: limits.run_once_answer,
            expired_keys: limits.expired_keys,
        }
    }
}
