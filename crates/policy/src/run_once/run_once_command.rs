use masticstair_core::prelude::*;

use super::{CallKey, Claim, RecordedAnswer};

/// A command to the run-once table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOnceCommand {
    /// Claims a call before it is sent. Idempotent for the same request.
    Claim(Box<Claim>),
    /// Records the answer of a call that ran.
    Finish {
        /// The account and the key of the call.
        call: CallKey,
        /// The request that proposed the claim.
        request: RequestId,
        /// The answer of the endpoint; the table may store it as omitted.
        answer: RecordedAnswer,
    },
    /// Records that the endpoint itself answered that the call failed.
    Fail {
        /// The account and the key of the call.
        call: CallKey,
        /// The request that proposed the claim.
        request: RequestId,
        /// The answer of the endpoint; the table may store it as omitted.
        answer: RecordedAnswer,
    },
    /// Certifies that the request did not and will not send the call. It may precede the claim in the log
    /// when the outcome of the claim's proposal is unknown; that claim is then refused.
    Release {
        /// The account and the key of the call.
        call: CallKey,
        /// The request that proposed the claim.
        request: RequestId,
        /// The wall clock of the proposer; only orders the expiry of the release.
        proposed_at: WallTime,
    },
    /// Reports that the claimant has stopped or exceeded its deadline; any host may send it.
    ReportOrphaned {
        /// The account and the key of the call.
        call: CallKey,
        /// The claiming request that the reporter saw.
        request: RequestId,
    },
    /// Raises the floor of key timestamps to the leader's wall clock minus the retention.
    RaiseFloor {
        /// The wall clock of the leader.
        now: WallTime,
    },
}
