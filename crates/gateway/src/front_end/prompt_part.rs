use masticstair_core::prelude::*;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the content; equal for equal content.
    pub id: PromptPartId,
    /// The length of the part.
    pub tokens: TokenCount,
}
