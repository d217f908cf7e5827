use masticstair_core::prelude::*;
use std::fmt::{Display, Formatter};

use super::PromptParts;

/// A finding that requests with certain parts in their prompts crash engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The service whose engines crash.
    pub service: ServiceName,
    /// The parts that all requests of the crashes have in common, sorted; not empty. As long as they have only been
    /// seen together, nothing tells which one is to blame, so a request is rejected only if it has all of them.
    pub parts: PromptParts,
    /// The number of crashes that led to the verdict.
    pub crashes: usize,
    /// The end of the verdict, on the time line of the evidence. Afterwards one more crash renews it.
    pub(super) until: Timestamp,
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let ids: Vec<_> = self.parts.iter().map(|part| format!("{:x}", part.get())).collect();
        write!(f, "{} crashes of {} under {}", self.crashes, self.service, ids.join(","))
    }
}
