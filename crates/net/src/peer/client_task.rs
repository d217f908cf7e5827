//! The task that owns the connection to one peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backoff::Backoff;
use super::call_outcome::CallOutcome;
use super::connection::Connection;
use super::queued_call::QueuedCall;
use super::{PeerClientConfig, PeerError, PeerIdentity};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::stream::FuturesUnordered;
use futures_util::{StreamExt, select};
use parking_lot::Mutex;

/// A connection that ends earlier than this and without a reply counts as a failed attempt for the backoff.
const MIN_USEFUL_LIFETIME: Duration = Duration::from_secs(1);

/// The state of the task behind a `PeerClient`.
pub(crate) struct ClientTask {
    pub(crate) cfg: PeerClientConfig,
    /// Calls to send; at most `CLIENT_CALLS_LIMIT`, because each holds a `CallPermit`.
    pub(crate) queue: UnboundedReceiver<QueuedCall>,
    /// The identity from the peer's hello; `None` while there is no connection.
    pub(crate) connected_peer: Arc<Mutex<Option<PeerIdentity>>>,
}

impl ClientTask {
    /// Runs until every handle is dropped. It connects when there is a call to send. After a failed attempt
    /// it fails calls without sending them until the backoff delay has passed.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new();
        let mut last_failure: Option<(Instant, PeerError)> = None;
        while let Some(call) = self.queue.next().await {
            if let Some((until, reason)) = &last_failure
                && Instant::now() < *until
            {
                call.fail(reason.clone()).await;
                continue;
            }
            let reason = match Connection::open(&self.cfg).await {
                Ok(connection) => match self.serve(connection, call).await {
                    true => {
                        backoff.reset();
                        last_failure = None;
                        continue;
                    }
                    false => PeerError::Lost { address: self.cfg.address },
                },
                Err(reason) => {
                    call.fail(reason.clone()).await;
                    reason
                }
            };
            let until = Instant::now() + backoff.next(&mut rand::rng());
            last_failure = Some((until, to_unreachable(reason)));
        }
    }

    /// Sends calls over a connection until it ends. Returns whether it got a reply or lasted for
    /// `MIN_USEFUL_LIFETIME`, which resets the backoff.
    async fn serve(&mut self, connection: Connection, first: QueuedCall) -> bool {
        *self.connected_peer.lock() = Some(connection.identity.clone());
        let mut calls = FuturesUnordered::new();
        calls.push(first.start(&connection.peer));
        let mut rpc = connection.rpc;
        let mut got_reply = false;
        loop {
            select! {
                call = self.queue.next() => match call {
                    Some(call) => calls.push(call.start(&connection.peer)),
                    None => break,
                },
                outcome = calls.select_next_some() => match outcome {
                    CallOutcome::Answered => got_reply = true,
                    CallOutcome::ConnectionFailed => break,
                    CallOutcome::NotSent => {}
                },
                _ = rpc => break,
            }
        }
        *self.connected_peer.lock() = None;
        got_reply || connection.opened.elapsed() >= MIN_USEFUL_LIFETIME
    }
}

/// Converts the error of the last connection for calls that fail during the backoff delay. `Lost` becomes
/// `Unreachable`, because `Lost` means that a call may have been sent and these were not.
fn to_unreachable(reason: PeerError) -> PeerError {
    match reason {
        PeerError::Lost { address } => PeerError::Unreachable {
            address,
            reason: "the connection ended without an answer".into(),
        },
        other => other,
    }
}
