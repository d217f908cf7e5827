use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::PromptPart;

/// The prompt of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The length of the whole prompt.
    pub input: TokenCount,
    /// The most tokens to generate.
    pub output: TokenCount,
    /// Its parts in order; the last one belongs to the request or its session, the others are shared.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the tokens of the parts that other requests have as well: all but the last one.
    pub fn shared(&self) -> TokenCount {
        let shared = self.shared_parts();
        let sum: u64 = shared.iter().map(|part| part.tokens.get()).sum();
        TokenCount::new(sum.min(self.input.get()))
    }

    /// Returns the id of the last shared part, by which requests that begin alike meet at one engine. A
    /// prompt of one part may be that of a session.
    pub fn session(&self) -> Option<PartId> {
        self.shared_parts().last().or(self.parts.last()).map(|part| part.id)
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
