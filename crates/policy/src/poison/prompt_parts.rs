use masticstair_core::prelude::*;
use smallvec::SmallVec;

/// Ids of shared parts of a prompt.
pub type PromptParts = SmallVec<[PromptPartId; 4]>;
