use masticstair_core::prelude::*;

use super::{CallStatus, RunOnceBound};

/// The reply to a `RunOnceCommand`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOnceReply {
    /// The request holds the claim and may send the call once.
    Granted,
    /// The command changed nothing; carries the status of the call.
    Found(CallStatus),
    /// The key belongs to a call with another body; the claim is refused and its request has not run.
    BodyConflict,
    /// The key is below the floor, or only its digest is left; its call may have run.
    KeyExpired,
    /// The claim is refused, since the table has reached this limit; its request has not run.
    Full(RunOnceBound),
    /// The command has taken effect, now or when it was first applied.
    Recorded,
    /// Another request holds the claim; the command changed nothing.
    NotClaimant,
    /// There is no record of the call; the command changed nothing.
    NoRecord,
    /// The floor of key timestamps after the command.
    Floor(WallTime),
}
