use futures_channel::oneshot;
use masticstair_net::http::client::{ClientLimits, ConnectionPool};
use masticstair_net::http::server::{bind, serve};
use masticstair_net::runtime::block_on;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::StartError;
use crate::http_api::handler;
use crate::request::WorkerContext;
use crate::state::HostState;

/// How often a worker that stops looks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the last answers may take to leave after every request has ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The threads that serve callers.
pub struct Workers {
    /// The address that the workers listen on.
    pub addr: SocketAddr,
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts the threads that serve callers.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn start_workers(state: &Arc<HostState>) -> Result<Workers, StartError> {
    // The first worker picks the port when the settings name none; the others share it.
    let mut addr = state.cfg.listen;
    let (mut stops, mut threads) = (Vec::new(), Vec::new());
    for number in 0..state.cfg.workers {
        let (stop_tx, stop_rx) = oneshot::channel();
        let (bound_tx, bound_rx) = std::sync::mpsc::channel();
        let state = state.clone();
        let run = move || run_worker(&state, addr, &bound_tx, stop_rx);
        threads.push(thread::Builder::new().name(format!("worker-{number}")).spawn(run)?);
        stops.push(stop_tx);
        match bound_rx.recv() {
            Ok(Ok(bound)) => addr = bound,
            Ok(Err(source)) => return Err(StartError::Bind { addr, source }),
            Err(_) => return Err(StartError::Thread(io::Error::other("the worker ended"))),
        }
    }
    Ok(Workers { addr, stops, threads })
}

impl Workers {
    /// Stops taking connections and waits until every request has ended.
    pub fn stop(self) {
        for stop in self.stops {
            // A worker that has ended needs no word.
            let _ = stop.send(());
        }
        for thread in self.threads {
            // A worker that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

/// Waits until every request has ended and its answer has left; a caller that does not read its answer is
/// waited for only for a bounded time.
async fn wait_until_idle(state: &HostState) {
    while state.drain.in_flight() > 0 {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let requests_ended = Instant::now();
    while state.connections.open().get() > 0 && requests_ended.elapsed() < FLUSH_TIMEOUT {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn run_worker(
    state: &Arc<HostState>,
    addr: SocketAddr,
    bound: &std::sync::mpsc::Sender<io::Result<SocketAddr>>,
    stop: oneshot::Receiver<()>,
) {
    let main = async {
        let listener = bind(addr).and_then(|l| l.local_addr().map(|addr| (l, addr)));
        let (listener, addr) = match listener {
            Ok(listening) => listening,
            Err(e) => {
                // The starter waits for this word; it cannot have gone.
                let _ = bound.send(Err(e));
                return;
            }
        };
        let _ = bound.send(Ok(addr));
        let pool = ConnectionPool::new(ClientLimits::default());
        let cx = Rc::new(WorkerContext { state: state.clone(), pool });
        let stopped = async {
            // A dropped sender means that the host is gone; stop as well.
            let _ = stop.await;
        };
        let (bounds, count) = (state.cfg.bounds, state.connections.clone());
        serve(listener, move || bounds, count, handler(cx), stopped).await;
        wait_until_idle(state).await;
    };
    if let Err(e) = block_on(main) {
        let _ = bound.send(Err(e));
    }
}
