use masticstair_core::prelude::*;

use super::{Claimant, RecordedAnswer};

/// The status of a call, for a request that has the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// Another request holds the claim. A host reports it as orphaned once it knows a higher incarnation of
    /// the claimant, or once the claimant's deadline has passed on the reporter's own monotonic clock,
    /// counted from when the reporter first saw the claim.
    Running {
        /// The request that holds the claim.
        request: RequestId,
        /// The process that runs it.
        claimant: Claimant,
    },
    /// The call may have run; its claimant has stopped or exceeded its deadline.
    Unknown,
    /// The endpoint ran the call.
    Done(RecordedAnswer),
    /// The endpoint answered that the call failed.
    Failed(RecordedAnswer),
    /// The call was not and will not be sent by its claimant; another request may claim it.
    Released,
}
