use masticstair_core::prelude::*;

/// The part of a streamed answer that was sent to the caller.
#[derive(Debug, Default)]
pub(super) struct DeliveredText {
    pub(super) tokens: TokenCount,
    pub(super) text: String,
}
