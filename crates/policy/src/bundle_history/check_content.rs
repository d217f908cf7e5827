use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;

use super::check::parse_content;
use super::{BundleRefusal, MAX_CONTENT_SIZE};

/// Runs those checks of a submit that need no history, and reports every error in the document.
///
/// # Errors
///
/// Returns `TooLarge` above `MAX_CONTENT_SIZE`, and `Invalid` when the document does not parse or validate.
pub fn check_content(content: &str) -> Result<Bundle, BundleRefusal> {
    let size = ByteCount::new(content.len() as u64);
    if size > MAX_CONTENT_SIZE {
        return Err(BundleRefusal::TooLarge { size, limit: MAX_CONTENT_SIZE });
    }
    parse_content(content)
}
