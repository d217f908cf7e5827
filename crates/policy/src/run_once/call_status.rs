use masticstair_core::prelude::*;

use super::{Claimant, RecordedAnswer};

/// What a request finds under its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// Another request holds the claim. Whoever reports it as orphaned goes by the claimant's incarnation,
    /// or counts the claimant's deadline on its own monotonic clock from when it first saw the claim.
    Running {
        /// The request that holds the claim.
        request: RequestId,
        /// Where it runs.
        claimant: Claimant,
    },
    /// The call may have run.
    Unknown,
    /// The call ran.
    Done(RecordedAnswer),
    /// The call failed by the word of the endpoint.
    Failed(RecordedAnswer),
    /// The call was not and will not be sent by its claimant; another request may claim it.
    Released,
}
