use masticstair_core::prelude::*;
use masticstair_policy::poison::PromptParts;
use serde::{Deserialize, Serialize};

/// Parts of prompts that crash engines. Prompts with all of them are rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RejectedPrompt {
    /// The service of the engines.
    pub service: ServiceName,
    /// The parts, sorted.
    pub parts: PromptParts,
    /// The number of engines that ended during requests with these parts.
    pub crashes: usize,
    /// The time until they are no longer rejected.
    pub left: Millis,
}
