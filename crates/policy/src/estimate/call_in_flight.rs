use super::CallNumber;
use masticstair_core::prelude::*;

/// State of a call in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallInFlight {
    /// Unique among the calls in flight of the endpoint.
    pub(crate) number: CallNumber,
    /// When the call was sent.
    pub(crate) started: Timestamp,
    /// Arrival time of the first token; `None` before that and for answers that are not streamed.
    pub(crate) first_token: Option<Timestamp>,
    /// Expected number of tokens; zero for stages without tokens.
    pub(crate) size: TokenCount,
    /// Number of tokens received so far.
    pub(crate) tokens: TokenCount,
}

impl CallInFlight {
    /// Returns the number of tokens expected at the next event of this call: the next token of a
    /// stream, otherwise the whole answer.
    pub(crate) fn due_tokens(&self) -> TokenCount {
        match self.first_token {
            Some(_) => TokenCount::new(self.tokens.get() + 1),
            None => self.size,
        }
    }
}
