use futures_channel::oneshot;
use std::time::Duration;

use super::{ControlError, ControlStatus};

/// A request to the control thread. The sender of each variant receives the answer.
pub(super) enum ControlJob {
    /// Proposes an encoded command within a wait limit.
    Propose(Box<[u8]>, Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Reads the replicated state by an encoded query within a wait limit.
    Read(Box<[u8]>, Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Asks every live host for the revision that it holds.
    Survey(oneshot::Sender<()>),
    /// Asks the leader for its view of the voters, as an encoded `LeaderStatus`.
    LeaderStatus(Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Asks for the status of the control thread itself.
    Status(oneshot::Sender<ControlStatus>),
}
