//! Reads of operators: what is signed, and which signatures are accepted.
//!
//! A read has no effect, so a signature that is captured and sent again within `MAX_CLOCK_OFFSET` only repeats the
//! same question.

mod read_header;
mod read_refusal;
mod signed_read_text;

pub use read_header::{MAX_CLOCK_OFFSET, ReadHeader};
pub use read_refusal::ReadRefusal;
pub use signed_read_text::signed_read_text;
