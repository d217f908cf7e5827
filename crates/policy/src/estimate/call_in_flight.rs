use super::CallNumber;
use masticstair_core::prelude::*;

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallInFlight {
    /// Unique among the calls in flight of the endpoint.
    pub(crate) number: CallNumber,
    /// When the call was sent.
    pub(crate) started: Timestamp,
    /// When the first token arrived; `None` before and for answers that are not streamed.
    pub(crate) first_token: Option<Timestamp>,
    /// The number of tokens to expect; zero for stages without tokens.
    pub(crate) size: TokenCount,
    /// The tokens that arrived so far.
    pub(crate) tokens: TokenCount,
}

impl CallInFlight {
    /// Returns the number of tokens that should have arrived by the next event of this call.
    pub(crate) fn due_tokens(&self) -> TokenCount {
        match self.first_token {
            Some(_) => TokenCount::new(self.tokens.get() + 1),
            None => self.size,
        }
    }
}
