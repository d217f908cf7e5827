use http::Method;
use http::request::Parts;
use masticstair_core::prelude::*;

/// A higher body size limit for one path.
#[derive(Clone, Copy, Debug)]
pub struct LargeBodyLimit {
    /// The path; the limit applies only to `POST`.
    pub path: &'static str,
    /// Maximum body size; a larger body is rejected with 413.
    pub max_size: ByteCount,
    /// Maximum number of such bodies that one worker reads concurrently; further ones are rejected with
    /// 429. Bodies are read before the sender is authenticated, so their memory must be limited.
    pub max_concurrent: Slots,
}

impl LargeBodyLimit {
    /// Returns whether the limit applies to a request.
    pub(super) fn applies_to(&self, head: &Parts) -> bool {
        head.method == Method::POST && head.uri.path() == self.path
    }
}
