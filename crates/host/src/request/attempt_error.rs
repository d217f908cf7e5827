use masticstair_core::prelude::*;
use masticstair_net::http::client::ClientError;
use thiserror::Error;

/// Why a call of a stage to one endpoint failed.
#[derive(Debug, Error)]
pub(super) enum AttemptError {
    /// The connection failed or the call timed out.
    #[error("endpoint {0}: {1}")]
    Transport(EndpointId, ClientError),
    /// The endpoint answered with an error status.
    #[error("endpoint {endpoint} answered {status}: {error}")]
    Refused {
        endpoint: EndpointId,
        status: u16,
        /// The error text from the endpoint.
        error: Box<str>,
        /// Whether the endpoint reported that the call may have had an effect.
        ran: bool,
    },
    /// The answer has the ids of another call or cannot be parsed; it was discarded.
    #[error("endpoint {0} sent an answer that does not belong to this call")]
    MismatchedAnswer(EndpointId),
    /// The stream ended or broke before its `end` event.
    #[error("endpoint {0} ended its stream after {1} tokens without the last event")]
    IncompleteStream(EndpointId, TokenCount),
}

impl AttemptError {
    /// Returns whether the call may have had an effect.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Transport(_, e) => e.may_have_sent(),
            Self::Refused { ran, .. } => *ran,
            Self::MismatchedAnswer(_) | Self::IncompleteStream(..) => true,
        }
    }
}
