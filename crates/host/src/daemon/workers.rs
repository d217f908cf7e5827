use futures_channel::oneshot;
use masticstair_net::http::client::{ClientLimits, ConnectionPool};
use masticstair_net::http::server::{bind, serve_within};
use masticstair_net::runtime::block_on;
use masticstair_policy::memory_account::{ListenerShare, connection_limit};
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

/// Interval at which a stopping worker checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the last responses may take to be sent after every request has completed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles to the threads that serve callers.
pub struct Workers {
    /// The bound address, shared by all workers; its port is the actual one if the settings ask for port 0.
    pub addr: SocketAddr,
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts the threads that serve callers and waits until each has bound the address.
///
/// # Errors
///
/// Fails if the address cannot be bound or a thread cannot be started.
pub fn start_workers(state: &Arc<HostState>) -> Result<Workers, StartError> {
    // With port 0 the first worker gets a port from the system; the others bind the same one.
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
            Err(_) => {
                return Err(StartError::Thread(io::Error::other("a worker ended during startup")));
            }
        }
    }
    Ok(Workers { addr, stops, threads })
}

impl Workers {
    /// Stops accepting connections and waits until every request has completed.
    pub fn stop(self) {
        for stop in self.stops {
            // Sending fails only if the worker has already ended.
            let _ = stop.send(());
        }
        for thread in self.threads {
            // Joining fails if the worker panicked, in which case it has ended too.
            let _ = thread.join();
        }
    }
}

/// Waits until every request has completed, then up to `FLUSH_TIMEOUT` until the connections are closed, so
/// that a caller that doesn't read its response cannot block the shutdown.
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
                // `start_workers` waits for this message, so the receiver exists.
                let _ = bound.send(Err(e));
                return;
            }
        };
        let _ = bound.send(Ok(addr));
        let pool = ConnectionPool::new(ClientLimits::default());
        let cx = Rc::new(WorkerContext { state: state.clone(), pool });
        let stopped = async {
            // A dropped sender also means shutdown.
            let _ = stop.await;
        };
        let (mut bounds, count) = (state.cfg.bounds, state.connections.clone());
        // The gateway's connections come out of the same descriptors.
        let share = match state.cfg.gateway {
            Some(_) => ListenerShare::OTHER,
            None => ListenerShare::OWN,
        };
        bounds.connections = bounds.connections.min(connection_limit(state.cfg.descriptors, share));
        let memory = state.memory.clone();
        serve_within(listener, move || bounds, count, memory, handler(cx), stopped).await;
        wait_until_idle(state).await;
    };
    if let Err(e) = block_on(main) {
        let _ = bound.send(Err(e));
    }
}
