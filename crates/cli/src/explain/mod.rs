//! Follows one request through the logs of several hosts.

mod log_line;
mod story;

pub use log_line::LogLine;
pub use story::{find_story, format_story};
