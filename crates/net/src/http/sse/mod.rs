//! Server-sent events (WHATWG HTML, section 9.2): parser and encoder.

mod sse_error;
mod sse_event;
mod sse_parser;

pub use sse_error::SseError;
pub use sse_event::SseEvent;
pub use sse_parser::SseParser;
