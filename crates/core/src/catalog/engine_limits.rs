use crate::unit::{Slots, TokenCount};

/// How one endpoint of a model service works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Requests that are processed at the same time.
    pub running: Slots,
    /// Memory for running requests and kept prompts.
    pub memory: TokenCount,
}
