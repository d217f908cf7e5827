use futures_channel::{mpsc, oneshot};
use masticstair_store::state::{Answer, Command, Query, Reply};
use std::time::Duration;

use super::control_job::ControlJob;
use super::{ControlError, ControlStatus, LeaderStatus};

/// A handle through which the other threads use the replicated log. Clones share one queue to the control
/// thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    jobs: mpsc::UnboundedSender<ControlJob>,
}

impl ControlHandle {
    pub(super) fn new() -> (Self, mpsc::UnboundedReceiver<ControlJob>) {
        let (jobs, rx) = mpsc::unbounded();
        (Self { jobs }, rx)
    }

    /// Proposes a command to the leader, local or remote, and returns the reply of the replicated state.
    /// `limit` bounds the whole call, retries included.
    ///
    /// # Errors
    ///
    /// `NotProposed` if the command is not in the log and never will be; `Unknown` if it may be.
    pub async fn propose(&self, command: &Command, limit: Duration) -> Result<Reply, ControlError> {
        let (tx, rx) = oneshot::channel();
        let reply = self.request(ControlJob::Propose(command.encode(), limit, tx), rx).await??;
        Reply::decode(&reply).map_err(|e| ControlError::Unknown(e.to_string().into()))
    }

    /// Reads the replicated state. The read is linearizable: it reflects all commands acknowledged before the
    /// call.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms the answer within `limit`.
    pub async fn read(&self, query: &Query, limit: Duration) -> Result<Answer, ControlError> {
        let (tx, rx) = oneshot::channel();
        let answer = self.request(ControlJob::Read(query.encode(), limit, tx), rx).await??;
        Answer::decode(&answer).map_err(|e| ControlError::Unknown(e.to_string().into()))
    }

    /// Returns the state of the control thread as this host knows it, without asking other hosts.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has stopped.
    pub async fn status(&self) -> Result<ControlStatus, ControlError> {
        let (tx, rx) = oneshot::channel();
        self.request(ControlJob::Status(tx), rx).await
    }

    /// Asks every live host for the revision that it holds and waits for the answers, which
    /// `Membership::host_reports` returns.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has stopped.
    pub async fn survey(&self) -> Result<(), ControlError> {
        let (tx, rx) = oneshot::channel();
        self.request(ControlJob::Survey(tx), rx).await
    }

    /// Asks the leader, local or remote, for its voters and their replication progress.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers within `limit`.
    pub async fn leader_status(&self, limit: Duration) -> Result<LeaderStatus, ControlError> {
        let (tx, rx) = oneshot::channel();
        let answer = self.request(ControlJob::LeaderStatus(limit, tx), rx).await??;
        LeaderStatus::decode(&answer).map_err(|e| ControlError::Unknown(e.to_string().into()))
    }

    async fn request<T>(
        &self,
        job: ControlJob,
        rx: oneshot::Receiver<T>,
    ) -> Result<T, ControlError> {
        let ended = |sent: bool| {
            let message = "the control thread has ended".into();
            if sent { ControlError::Unknown(message) } else { ControlError::NotProposed(message) }
        };
        self.jobs.unbounded_send(job).map_err(|_| ended(false))?;
        rx.await.map_err(|_| ended(true))
    }
}
