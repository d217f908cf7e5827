use masticstair_core::prelude::*;
use masticstair_net::http::client::ClientError;
use thiserror::Error;

/// The reason for which one call of a stage gave no answer.
#[derive(Debug, Error)]
pub(super) enum AttemptError {
    /// The transport failed.
    #[error("endpoint {0}: {1}")]
    Transport(EndpointId, ClientError),
    /// The endpoint answered with an error.
    #[error("endpoint {endpoint} answered {status}: {error}")]
    Refused {
        /// The endpoint.
        endpoint: EndpointId,
        /// The HTTP status.
        status: u16,
        /// What the endpoint said.
        error: Box<str>,
        /// Whether the call may have had an effect, by the endpoint's word.
        ran: bool,
    },
    /// The answer belongs to another call or cannot be read; it was dropped.
    #[error("endpoint {0} sent an answer that does not belong to this call")]
    MismatchedAnswer(EndpointId),
    /// The stream ended before its last event.
    #[error("endpoint {0} ended its stream after {1} tokens without the last event")]
    IncompleteStream(EndpointId, TokenCount),
}

impl AttemptError {
    /// Tells whether the call may have had an effect.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Transport(_, e) => e.may_have_sent(),
            Self::Refused { ran, .. } => *ran,
            Self::MismatchedAnswer(_) | Self::IncompleteStream(..) => true,
        }
    }
}
