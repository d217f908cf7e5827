use masticstair_core::prelude::*;
use std::fmt::{Display, Formatter};

/// The finding that a request crashes the endpoints that run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestVerdict {
    /// The content of the request.
    pub request: RequestDigest,
    /// The number of crashes that led to the verdict.
    pub crashes: usize,
    /// The end of the verdict, as `table_time` converts it. Afterwards one more crash renews it.
    pub(super) until: Timestamp,
}

impl Display for RequestVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "content {} crashed {} endpoints", self.request, self.crashes)
    }
}
