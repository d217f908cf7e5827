use crate::unit::{Millis, RatePerSecond};

/// What an endpoint of a service bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// How long an endpoint stays cold after its start.
    pub warmup: Millis,
    /// The requests that a cold endpoint bears from all hosts together.
    pub rate: RatePerSecond,
}
