use masticstair_core::prelude::*;

use super::RequestVerdict;

/// What follows from the crashes for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestStanding {
    /// The request may be sent and repeated.
    Clear,
    /// The request may be sent, but not again in the same attempt of its client.
    Suspected,
    /// The request crashes endpoints.
    Rejected {
        /// The finding.
        verdict: RequestVerdict,
        /// The time until it ends.
        left: Millis,
    },
}
