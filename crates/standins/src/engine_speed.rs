use std::time::Duration;

/// The simulated speed of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Time to process each token of the prompt.
    pub prefill_per_token: Duration,
    /// Time to generate each output token.
    pub decode_per_token: Duration,
}
