use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;

use super::check::parse_content;
use super::{BundleRefusal, MAX_CONTENT_SIZE};

/// Checks a content as a submit does, and reports every error.
///
/// # Errors
///
/// `TooLarge` or `Invalid`.
pub fn check_content(content: &str) -> Result<Bundle, BundleRefusal> {
    let size = ByteCount::new(content.len() as u64);
    if size > MAX_CONTENT_SIZE {
        return Err(BundleRefusal::TooLarge { size, limit: MAX_CONTENT_SIZE });
    }
    parse_content(content)
}
