use futures_channel::{mpsc, oneshot};
use masticstair_store::state::{Answer, Command, Query, Reply};
use std::time::Duration;

use super::control_job::ControlJob;
use super::{ControlError, ControlStatus, LeaderStatus};

/// The way of the other threads to the replicated log.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    jobs: mpsc::UnboundedSender<ControlJob>,
}

impl ControlHandle {
    pub(super) fn new() -> (Self, mpsc::UnboundedReceiver<ControlJob>) {
        let (jobs, rx) = mpsc::unbounded();
        (Self { jobs }, rx)
    }

    /// Proposes a command, wherever the leader is, and returns the reply of the replicated state.
    ///
    /// # Errors
    ///
    /// `NotProposed` when the command certainly is not in the log and never will be.
    pub async fn propose(&self, command: &Command, limit: Duration) -> Result<Reply, ControlError> {
        let (tx, rx) = oneshot::channel();
        let reply = self.request(ControlJob::Propose(command.encode(), limit, tx), rx).await??;
        Reply::decode(&reply).map_err(|e| ControlError::Unknown(e.to_string().into()))
    }

    /// Asks the replicated state, as of all commands acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Fails when no leader confirms the answer in time.
    pub async fn read(&self, query: &Query, limit: Duration) -> Result<Answer, ControlError> {
        let (tx, rx) = oneshot::channel();
        let answer = self.request(ControlJob::Read(query.encode(), limit, tx), rx).await??;
        Answer::decode(&answer).map_err(|e| ControlError::Unknown(e.to_string().into()))
    }

    /// Returns the state of the control thread.
    ///
    /// # Errors
    ///
    /// Fails when the control thread has ended.
    pub async fn status(&self) -> Result<ControlStatus, ControlError> {
        let (tx, rx) = oneshot::channel();
        self.request(ControlJob::Status(tx), rx).await
    }

    /// Asks every live host for the revision that it holds; `Membership::host_reports` has the answers.
    ///
    /// # Errors
    ///
    /// Fails when the control thread has ended.
    pub async fn survey(&self) -> Result<(), ControlError> {
        let (tx, rx) = oneshot::channel();
        self.request(ControlJob::Survey(tx), rx).await
    }

    /// Asks the leader, wherever it is, for its voters and how far each of them is.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers in time.
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
