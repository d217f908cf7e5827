use masticstair_core::id::{SpanId, TraceParent};
use masticstair_core::prelude::*;
use slog::{Logger, info};

/// A tracing span of a request. It is logged when it ends, if the trace is sampled.
///
/// Times are microseconds on the monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// The trace context to propagate to calls made under this span.
    pub context: TraceParent,
    parent: SpanId,
    name: &'static str,
    start: Timestamp,
}

impl Span {
    /// Starts a child span of `parent`.
    pub fn start(parent: TraceParent, name: &'static str, now: Timestamp) -> Self {
        Self { context: parent.child(), parent: parent.span, name, start: now }
    }

    /// Ends the span and logs it if the trace is sampled; `detail` names the stage, endpoint or outcome.
    pub fn end(self, log: &Logger, now: Timestamp, request: RequestId, detail: &str) {
        if self.context.sampled {
            info!(log, "span";
                "name" => self.name,
                "trace_id" => self.context.trace.to_string(),
                "span_id" => self.context.span.to_string(),
                "parent_id" => self.parent.to_string(),
                "request_id" => request.to_string(),
                "start_us" => self.start.get(),
                "duration_us" => now.since(self.start).as_micros() as u64,
                "detail" => detail);
        }
    }
}
