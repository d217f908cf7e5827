use std::fmt::{Display, Formatter};

/// Why a request was not answered by an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// This host has no catalog yet.
    NoCatalog,
    /// No route of the catalog matches.
    NoRoute,
    /// This host may lack the change that added the route or the key.
    Outdated,
    /// The key belongs to no account.
    UnknownKey,
    /// The request cannot be parsed.
    Malformed,
    /// No endpoint of the service takes new work.
    NoEndpoint,
    /// Every endpoint that was tried is full.
    Full,
    /// Every endpoint is at the limit that it named.
    Limit,
    /// Every endpoint has asked this host to send it nothing for a time.
    Paused,
    /// The stages of the request failed or cannot complete in time.
    Stages,
    /// It is not known which software version began the stream that the client takes up.
    UnknownStream,
    /// Requests with the same parts in their prompts crash engines.
    PoisonPrompt,
    /// The request has crashed the endpoints that ran it.
    PoisonRequest,
    /// This host stops before the request can end.
    Stopping,
    /// The deadline of the request passed.
    Deadline,
    /// The connection to the endpoint broke.
    Broken,
}

impl RefusalReason {
    /// Returns the name used in logs and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no-catalog",
            Self::NoRoute => "no-route",
            Self::Outdated => "outdated",
            Self::UnknownKey => "unknown-key",
            Self::Malformed => "malformed",
            Self::NoEndpoint => "no-endpoint",
            Self::Full => "full",
            Self::Limit => "limit",
            Self::Paused => "paused",
            Self::Stages => "stages",
            Self::UnknownStream => "unknown-stream",
            Self::PoisonPrompt => "poison-prompt",
            Self::PoisonRequest => "poison-request",
            Self::Stopping => "stopping",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
        }
    }
}

impl Display for RefusalReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}
