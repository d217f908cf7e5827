use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use super::client_task::ClientTask;
use super::job::{Job, JobEnd};
use super::limits::CLIENT_CALLS_LIMIT;
use super::permit::Permit;
use super::{DecodeError, PeerClientConfig, PeerError, PeerIdentity};
use crate::generated::peer_capnp::peer;
use futures_channel::{mpsc, oneshot};
use futures_util::future::LocalBoxFuture;
use masticstair_core::unit::Millis;
use monoio::time::timeout;
use parking_lot::Mutex;

/// A handle to the task that owns the connection to one peer. Handles are cheap to clone and can be used
/// on any thread that runs a runtime of `masticstair_net::runtime`.
#[derive(Clone)]
pub struct PeerClient {
    address: SocketAddr,
    jobs: mpsc::UnboundedSender<Job>,
    in_flight: Arc<AtomicUsize>,
    connected: Arc<Mutex<Option<PeerIdentity>>>,
}

/// What a call yields on the task of the connection.
pub(crate) type Answer<Reply> = LocalBoxFuture<'static, Result<Reply, CallError>>;

/// Why a call failed, before the peer's address is added.
#[derive(Debug)]
pub(crate) enum CallError {
    Rpc(capnp::Error),
    Decode(DecodeError),
}

impl From<capnp::Error> for CallError {
    fn from(e: capnp::Error) -> Self {
        Self::Rpc(e)
    }
}

impl From<DecodeError> for CallError {
    fn from(e: DecodeError) -> Self {
        Self::Decode(e)
    }
}

impl PeerClient {
    /// Starts the task on the runtime of this thread. The task ends with the last handle.
    pub fn spawn(cfg: PeerClientConfig) -> Self {
        let (tx, rx) = mpsc::unbounded();
        let client = Self {
            address: cfg.address,
            jobs: tx,
            in_flight: Arc::default(),
            connected: Arc::default(),
        };
        let task = ClientTask { cfg, jobs: rx, connected: client.connected.clone() };
        monoio::spawn(task.run());
        client
    }

    /// Returns where the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns who answers at the other end, while there is a connection.
    pub fn connected(&self) -> Option<PeerIdentity> {
        self.connected.lock().clone()
    }

    /// Makes a call. `send` runs on the task of the connection and must send the message at once.
    pub(crate) async fn call<Reply: Send + 'static>(
        &self,
        limit: Duration,
        send: impl FnOnce(&peer::Client) -> Result<Answer<Reply>, PeerError> + Send + 'static,
    ) -> Result<Reply, PeerError> {
        let address = self.address;
        let permit = Permit::take(&self.in_flight, CLIENT_CALLS_LIMIT)
            .ok_or(PeerError::Busy { address, limit: CLIENT_CALLS_LIMIT })?;
        let deadline = Instant::now() + limit;
        let late = move || PeerError::Deadline { address, timeout: millis(limit) };
        let (tx, rx) = oneshot::channel();
        let job = Job::new(move |peer| {
            Box::pin(run_call(peer.and_then(send), address, deadline, late(), tx, permit))
        });
        if self.jobs.unbounded_send(job).is_err() {
            return Err(PeerError::Unreachable { address, reason: "the client has ended".into() });
        }
        match timeout(limit, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Lost { address }),
            Err(_) => Err(late()),
        }
    }
}

/// Waits for the answer of a call on the task of the connection.
async fn run_call<Reply>(
    sent: Result<Answer<Reply>, PeerError>,
    address: SocketAddr,
    deadline: Instant,
    late: PeerError,
    tx: oneshot::Sender<Result<Reply, PeerError>>,
    _permit: Permit,
) -> JobEnd {
    let answer = match sent {
        Ok(answer) => answer,
        Err(e) => {
            let _ = tx.send(Err(e));
            return JobEnd::NotSent;
        }
    };
    let left = deadline.saturating_duration_since(Instant::now());
    let (end, result) = match timeout(left, answer).await {
        Ok(Ok(reply)) => (JobEnd::Answered, Ok(reply)),
        Ok(Err(CallError::Decode(source))) => {
            (JobEnd::Answered, Err(PeerError::Decode { address, source }))
        }
        Ok(Err(CallError::Rpc(e))) if e.kind == capnp::ErrorKind::Disconnected => {
            (JobEnd::ConnectionDead, Err(PeerError::Lost { address }))
        }
        Ok(Err(CallError::Rpc(e))) => {
            (JobEnd::Answered, Err(PeerError::Remote { address, reason: e.extra.into() }))
        }
        Err(_) => (JobEnd::ConnectionDead, Err(late)),
    };
    let _ = tx.send(result);
    end
}

fn millis(limit: Duration) -> Millis {
    Millis::new(u64::try_from(limit.as_millis()).unwrap_or(u64::MAX))
}
