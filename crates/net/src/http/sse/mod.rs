//! Server-sent events (WHATWG HTML, section 9.2).

mod event;
mod parser;

pub use event::SseEvent;
pub use parser::{SseError, SseParser};
