//! The task that owns the connection to one peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backoff::Backoff;
use super::connection::Connection;
use super::job::{Job, JobEnd};
use super::{PeerClientConfig, PeerError, PeerIdentity};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::stream::FuturesUnordered;
use futures_util::{StreamExt, select};
use parking_lot::Mutex;

/// A connection that lived for less than this without an answer counts as a failed attempt.
const MIN_LIFE: Duration = Duration::from_secs(1);

/// The state of the task.
pub(crate) struct ClientTask {
    pub(crate) cfg: PeerClientConfig,
    /// Calls to send; their number is bounded by the permits of the handle.
    pub(crate) jobs: UnboundedReceiver<Job>,
    /// Who answers at the other end, while there is a connection.
    pub(crate) connected: Arc<Mutex<Option<PeerIdentity>>>,
}

impl ClientTask {
    /// Runs until every handle is dropped. It connects when there is a call to send, and refuses calls
    /// until the wait after a failed attempt has passed.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new();
        let mut failed: Option<(Instant, PeerError)> = None;
        while let Some(job) = self.jobs.next().await {
            if let Some((until, reason)) = &failed
                && Instant::now() < *until
            {
                job.refuse(reason.clone()).await;
                continue;
            }
            let reason = match Connection::open(&self.cfg).await {
                Ok(connection) => match self.serve(connection, job).await {
                    true => {
                        backoff.reset();
                        failed = None;
                        continue;
                    }
                    false => PeerError::Lost { address: self.cfg.address },
                },
                Err(reason) => {
                    job.refuse(reason.clone()).await;
                    reason
                }
            };
            let until = Instant::now() + backoff.next(&mut rand::rng());
            failed = Some((until, unreachable(reason)));
        }
    }

    /// Sends calls over a connection until it ends; tells whether it was of any use.
    async fn serve(&mut self, connection: Connection, first: Job) -> bool {
        *self.connected.lock() = Some(connection.identity.clone());
        let mut calls = FuturesUnordered::new();
        calls.push(first.start(&connection.peer));
        let mut rpc = connection.rpc;
        let mut answered = false;
        loop {
            select! {
                job = self.jobs.next() => match job {
                    Some(job) => calls.push(job.start(&connection.peer)),
                    None => break,
                },
                end = calls.select_next_some() => match end {
                    JobEnd::Answered => answered = true,
                    JobEnd::ConnectionDead => break,
                    JobEnd::NotSent => {}
                },
                _ = rpc => break,
            }
        }
        *self.connected.lock() = None;
        answered || connection.opened.elapsed() >= MIN_LIFE
    }
}

/// A call that is refused during the wait was not sent, whatever ended the attempt before.
fn unreachable(reason: PeerError) -> PeerError {
    match reason {
        PeerError::Lost { address } => PeerError::Unreachable {
            address,
            reason: "the connection ended without an answer".into(),
        },
        other => other,
    }
}
