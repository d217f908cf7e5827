use masticstair_core::prelude::*;

use super::{CallKey, Claim, RecordedAnswer};

/// A command for the table of calls that must not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOnceCommand {
    /// Claims a call before it is sent. Resending the claim of the same request is harmless.
    Claim(Box<Claim>),
    /// Records the answer of a call that ran.
    Finish {
        /// The account and the key.
        call: CallKey,
        /// The claiming request.
        request: RequestId,
        /// What the endpoint answered.
        answer: RecordedAnswer,
    },
    /// Records that the endpoint itself said that the call failed.
    Fail {
        /// The account and the key.
        call: CallKey,
        /// The claiming request.
        request: RequestId,
        /// What the endpoint answered.
        answer: RecordedAnswer,
    },
    /// Certifies that the request did not and will not send the call. It may come before the claim in the
    /// log when the proposal of the claim ended as unknown; that claim is then refused.
    Release {
        /// The account and the key.
        call: CallKey,
        /// The claiming request.
        request: RequestId,
        /// The wall clock of the proposer; orders the expiry of the release.
        proposed_at: WallTime,
    },
    /// Reports that the claimant is gone or late, by any host.
    ReportOrphaned {
        /// The account and the key.
        call: CallKey,
        /// The claiming request that the reporter saw.
        request: RequestId,
    },
    /// Raises the floor of key times to the leader's wall clock less the retention.
    RaiseFloor {
        /// The wall clock of the leader.
        now: WallTime,
    },
}
