use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

use super::{SpanId, TraceId, TraceParentError};

/// A `traceparent` header (W3C Trace Context, version 00).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// The trace that the span belongs to; never zero.
    pub trace: TraceId,
    /// The span of the sender; never zero.
    pub span: SpanId,
    /// Whether the sender records the trace.
    pub sampled: bool,
}

impl TraceParent {
    /// Starts a new, sampled trace with random ids. Their lowest bits are set, since they must not be zero.
    pub fn random() -> Self {
        Self { trace: TraceId(Uuid::new_v4().as_u128() | 1), span: SpanId::random(), sampled: true }
    }

    /// Returns the context of a child span: the same trace with a new span id.
    pub fn child(self) -> Self {
        Self { span: SpanId::random(), ..self }
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{}-{}-{:02x}", self.trace, self.span, u8::from(self.sampled))
    }
}

impl FromStr for TraceParent {
    type Err = TraceParentError;

    fn from_str(s: &str) -> Result<Self, TraceParentError> {
        let mut parts = s.split('-');
        let mut next = |len: usize| {
            let part = parts.next().filter(|p| p.len() == len).ok_or(TraceParentError)?;
            u128::from_str_radix(part, 16).map_err(|_| TraceParentError)
        };
        let (version, trace, span, flags) = (next(2)?, next(32)?, next(16)?, next(2)?);
        if version != 0 || trace == 0 || span == 0 || parts.next().is_some() {
            return Err(TraceParentError);
        }
        let span = u64::try_from(span).map_err(|_| TraceParentError)?;
        Ok(Self { trace: TraceId(trace), span: SpanId(span), sampled: flags & 1 == 1 })
    }
}
