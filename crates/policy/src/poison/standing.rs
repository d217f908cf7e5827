use masticstair_core::prelude::*;

use super::Verdict;

/// What the evidence says of the parts of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing speaks against the request.
    Clear,
    /// An engine ended while it answered a request with these parts. The request may be sent, but not again.
    Suspected,
    /// Requests with these parts crash engines; they are not sent.
    Rejected {
        /// The reason.
        verdict: Verdict,
        /// The time until the verdict ends.
        left: Millis,
    },
}
