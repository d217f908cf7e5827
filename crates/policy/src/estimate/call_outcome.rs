use masticstair_core::prelude::*;

/// Outcome of a call to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The complete answer arrived, with the number of generated tokens (zero for stages without
    /// tokens).
    Success(TokenCount),
    /// The endpoint answered with an error, or did not answer in time.
    Failure,
    /// The host abandoned the call, because the caller disconnected or another attempt was faster. Not
    /// counted as success or failure.
    Abandoned,
}
