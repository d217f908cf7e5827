use masticstair_core::prelude::*;

/// The text that has reached the caller.
#[derive(Debug, Default)]
pub(super) struct DeliveredText {
    pub(super) tokens: TokenCount,
    pub(super) text: String,
}
