use masticstair_core::prelude::*;
use smallvec::SmallVec;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id; equal for equal content.
    pub id: PartId,
    /// Its length.
    pub tokens: TokenCount,
}

/// The prompt of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The length of the whole prompt.
    pub input: TokenCount,
    /// The most tokens to generate.
    pub output: TokenCount,
    /// Its parts in order; the last one belongs to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the tokens of the parts, which engines may keep from earlier requests.
    pub fn shared(&self) -> TokenCount {
        let sum: u64 = self.parts.iter().map(|part| part.tokens.get()).sum();
        TokenCount::new(sum.min(self.input.get()))
    }

    /// Returns the id of the session, by which requests with the same parts meet at one engine.
    pub fn session(&self) -> Option<PartId> {
        self.parts.last().map(|part| part.id)
    }
}
