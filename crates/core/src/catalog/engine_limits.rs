use crate::unit::{Slots, TokenCount};

/// The capacity of one endpoint of a model service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// The number of requests that the engine processes concurrently.
    pub running: Slots,
    /// The capacity of the KV cache, which running requests and cached prompts share.
    pub memory: TokenCount,
}
