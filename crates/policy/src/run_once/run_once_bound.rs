use std::fmt;

/// A limit of the table that a new claim would exceed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RunOnceBound {
    /// `limits.run_once_records` of the bundle.
    Records,
    /// `limits.expired_keys` of the bundle; applies only to keys without a timestamp.
    ExpiredKeys,
}

impl fmt::Display for RunOnceBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Records => "run_once_records",
            Self::ExpiredKeys => "expired_keys",
        })
    }
}
