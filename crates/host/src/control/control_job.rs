use futures_channel::oneshot;
use std::time::Duration;

use super::{ControlError, ControlStatus};

/// A question for the control thread.
pub(super) enum ControlJob {
    /// Proposes an encoded command.
    Propose(Box<[u8]>, Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Asks an encoded query.
    Read(Box<[u8]>, Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Asks every live host for its revision.
    Survey(oneshot::Sender<()>),
    /// Asks the leader for the state of its replica.
    LeaderStatus(Duration, oneshot::Sender<Result<Box<[u8]>, ControlError>>),
    /// Asks for the state of the control thread.
    Status(oneshot::Sender<ControlStatus>),
}
