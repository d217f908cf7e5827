use masticstair_core::prelude::*;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id; equal for equal content.
    pub id: PartId,
    /// Its length.
    pub tokens: TokenCount,
}
