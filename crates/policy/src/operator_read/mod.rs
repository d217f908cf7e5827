//! Authentication of operator reads: the signed text and its verification.
//!
//! A read has no side effect, so a captured signature that is replayed within `MAX_CLOCK_OFFSET` only repeats
//! the same read.

mod read_header;
mod read_refusal;
mod signed_read_text;

pub use read_header::{MAX_CLOCK_OFFSET, ReadHeader};
pub use read_refusal::ReadRefusal;
pub use signed_read_text::signed_read_text;
