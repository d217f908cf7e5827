use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::PromptPart;

/// The prompt of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The length of the whole prompt.
    pub input: TokenCount,
    /// The limit of tokens to generate.
    pub output: TokenCount,
    /// The parts in order. The last one belongs to the request or its session; the others are shared between
    /// requests.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the tokens of the shared parts: all but the last one.
    pub fn shared(&self) -> TokenCount {
        let shared = self.shared_parts();
        let sum: u64 = shared.iter().map(|part| part.tokens.get()).sum();
        TokenCount::new(sum.min(self.input.get()))
    }

    /// Returns the id of the last shared part; requests with the same beginning are routed to one engine by
    /// it. A prompt of a single part may belong to a session, so that part's id is returned.
    pub fn session(&self) -> Option<PromptPartId> {
        self.shared_parts().last().or(self.parts.last()).map(|part| part.id)
    }

    /// Returns the ids of the shared parts in hexadecimal, separated by commas.
    pub fn shared_text(&self) -> String {
        let ids = self.shared_ids().map(|id| format!("{:x}", id.get()));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the ids of the shared parts in order.
    pub fn shared_ids(&self) -> impl Iterator<Item = PromptPartId> {
        self.shared_parts().iter().map(|part| part.id)
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
