use http::Method;
use http::request::Parts;
use masticstair_core::prelude::*;

/// The bound on the bodies of one path that are larger than those of all others.
#[derive(Clone, Copy, Debug)]
pub struct LargeBodyLimit {
    /// The path; only `POST` has the larger bound.
    pub path: &'static str,
    /// The largest body; a larger one is answered with 413.
    pub max_size: ByteCount,
    /// Such bodies that one worker reads at the same time; a further one is answered with 429. They are
    /// read before their sender is known, so their memory has to be bounded.
    pub max_concurrent: Slots,
}

impl LargeBodyLimit {
    /// Tells whether a request has this bound.
    pub(super) fn applies_to(&self, head: &Parts) -> bool {
        head.method == Method::POST && head.uri.path() == self.path
    }
}
