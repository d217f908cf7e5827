use std::fmt;
use uuid::Uuid;

/// The id of a span (W3C Trace Context, 8 bytes).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SpanId(pub(super) u64);

impl SpanId {
    /// Generates a random id. The lowest bit is set, since a span id must not be zero.
    pub fn random() -> Self {
        let (high, _) = Uuid::new_v4().as_u64_pair();
        Self(high | 1)
    }
}

impl fmt::Display for SpanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
