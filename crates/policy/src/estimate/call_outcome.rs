use masticstair_core::prelude::*;

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The complete answer arrived, with this many generated tokens; zero for stages without tokens.
    Success(TokenCount),
    /// The endpoint answered with an error, or did not answer in time.
    Failure,
    /// The host gave the call up (caller gone, other attempt was faster); says nothing about success.
    Abandoned,
}
