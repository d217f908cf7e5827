use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;

use super::check::read_content;
use super::{BundleRefusal, MAX_CONTENT};

/// Checks a content as a submit does, and reports every error.
///
/// # Errors
///
/// `TooLarge` or `Invalid`.
pub fn check_content(content: &str) -> Result<Bundle, BundleRefusal> {
    let size = ByteCount::new(content.len() as u64);
    if size > MAX_CONTENT {
        return Err(BundleRefusal::TooLarge { size, limit: MAX_CONTENT });
    }
    read_content(content)
}
