use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use super::call_error::CallError;
use super::call_outcome::CallOutcome;
use super::call_permit::CallPermit;
use super::client_task::ClientTask;
use super::limits::CLIENT_CALLS_LIMIT;
use super::queued_call::QueuedCall;
use super::{PeerClientConfig, PeerError, PeerIdentity};
use crate::generated::peer_capnp::peer;
use futures_channel::{mpsc, oneshot};
use futures_util::future::LocalBoxFuture;
use masticstair_core::unit::Millis;
use monoio::time::timeout;
use parking_lot::Mutex;

/// A handle to the task that owns the connection to one peer. Handles are cheap to clone and usable on any
/// thread that runs a runtime of `masticstair_net::runtime`.
#[derive(Clone)]
pub struct PeerClient {
    address: SocketAddr,
    /// What another client of the same peer is spawned with.
    cfg: Arc<PeerClientConfig>,
    queue: mpsc::UnboundedSender<QueuedCall>,
    in_flight: Arc<AtomicUsize>,
    connected_peer: Arc<Mutex<Option<PeerIdentity>>>,
}

/// The pending reply of a call, polled on the task that owns the connection.
pub(crate) type ReplyFuture<Reply> = LocalBoxFuture<'static, Result<Reply, CallError>>;

impl PeerClient {
    /// Spawns the task on the runtime of the current thread. It ends when the last handle is dropped.
    pub fn spawn(cfg: PeerClientConfig) -> Self {
        let (tx, rx) = mpsc::unbounded();
        let client = Self {
            address: cfg.address,
            cfg: Arc::new(cfg.clone()),
            queue: tx,
            in_flight: Arc::default(),
            connected_peer: Arc::default(),
        };
        let task = ClientTask { cfg, queue: rx, connected_peer: client.connected_peer.clone() };
        monoio::spawn(task.run());
        client
    }

    /// Spawns a client with a connection of its own to the same peer, on the runtime of the current thread. Calls on this
    /// one that fail, or wait for each other, do not affect it.
    pub fn separate(&self) -> Self {
        Self::spawn(PeerClientConfig::clone(&self.cfg))
    }

    /// Returns the configured address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the identity from the peer's hello; `None` while there is no connection.
    pub fn connected_peer(&self) -> Option<PeerIdentity> {
        self.connected_peer.lock().clone()
    }

    /// Makes a call. `send` runs on the task that owns the connection and must send without waiting.
    pub(crate) async fn call<Reply: Send + 'static>(
        &self,
        call_timeout: Duration,
        send: impl FnOnce(&peer::Client) -> Result<ReplyFuture<Reply>, PeerError> + Send + 'static,
    ) -> Result<Reply, PeerError> {
        let address = self.address;
        let permit = CallPermit::try_acquire(&self.in_flight, CLIENT_CALLS_LIMIT)
            .ok_or(PeerError::Busy { address, limit: CLIENT_CALLS_LIMIT })?;
        let deadline = Instant::now() + call_timeout;
        let deadline_error = move || PeerError::Deadline { address, timeout: millis(call_timeout) };
        let (tx, rx) = oneshot::channel();
        let queued = QueuedCall::new(move |peer| {
            Box::pin(run_call(peer.and_then(send), address, deadline, deadline_error(), tx, permit))
        });
        if self.queue.unbounded_send(queued).is_err() {
            return Err(PeerError::Unreachable { address, reason: "the client has ended".into() });
        }
        match timeout(call_timeout, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Lost { address }),
            Err(_) => Err(deadline_error()),
        }
    }
}

/// Waits for the reply of a call on the task that owns the connection.
async fn run_call<Reply>(
    sent: Result<ReplyFuture<Reply>, PeerError>,
    address: SocketAddr,
    deadline: Instant,
    deadline_error: PeerError,
    tx: oneshot::Sender<Result<Reply, PeerError>>,
    _permit: CallPermit,
) -> CallOutcome {
    let reply = match sent {
        Ok(reply) => reply,
        Err(e) => {
            let _ = tx.send(Err(e));
            return CallOutcome::NotSent;
        }
    };
    let remaining = deadline.saturating_duration_since(Instant::now());
    let (outcome, result) = match timeout(remaining, reply).await {
        Ok(Ok(reply)) => (CallOutcome::Answered, Ok(reply)),
        Ok(Err(CallError::Decode(source))) => {
            (CallOutcome::Answered, Err(PeerError::Decode { address, source }))
        }
        Ok(Err(CallError::Rpc(e))) if e.kind == capnp::ErrorKind::Disconnected => {
            (CallOutcome::ConnectionFailed, Err(PeerError::Lost { address }))
        }
        Ok(Err(CallError::Rpc(e))) => {
            (CallOutcome::Answered, Err(PeerError::Remote { address, reason: e.extra.into() }))
        }
        Err(_) => (CallOutcome::ConnectionFailed, Err(deadline_error)),
    };
    let _ = tx.send(result);
    outcome
}

fn millis(duration: Duration) -> Millis {
    Millis::new(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
