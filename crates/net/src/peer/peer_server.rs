use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::gate::Gate;
use super::limits::{HELLO_TIMEOUT, SERVER_CONNECTIONS_LIMIT};
use super::transport::transport;
use super::{PeerHandlers, PeerIdentity};
use crate::generated::peer_capnp::gate;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared, select};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::sleep;
use std::pin::pin;

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Completes when the server is asked to stop; every connection holds a clone.
type Stop = Shared<LocalBoxFuture<'static, ()>>;

/// Accepts connections from peers and serves each in its own task.
pub struct PeerServer {
    listener: TcpListener,
    local: Rc<PeerIdentity>,
    handlers: Rc<PeerHandlers>,
    /// Number of open connections; at most `SERVER_CONNECTIONS_LIMIT`.
    open_connections: Rc<Cell<usize>>,
}

impl PeerServer {
    /// Binds a listener and creates a server on it.
    ///
    /// # Errors
    ///
    /// Returns the operating system error if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        local: PeerIdentity,
        handlers: PeerHandlers,
    ) -> io::Result<Self> {
        Ok(Self::new(Self::listen(address)?, local, handlers))
    }

    /// Binds a listener without a server, for callers that need the port chosen by the operating system
    /// before they can create the handlers.
    ///
    /// # Errors
    ///
    /// Returns the operating system error if the address cannot be bound.
    pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
        let options = ListenerOpts::new().reuse_addr(true).reuse_port(false);
        TcpListener::bind_with_config(address, &options)
    }

    /// Creates a server on a listener; `local` is the identity that it sends in the hello.
    pub fn new(listener: TcpListener, local: PeerIdentity, handlers: PeerHandlers) -> Self {
        Self {
            listener,
            local: Rc::new(local),
            handlers: Rc::new(handlers),
            open_connections: Rc::default(),
        }
    }

    /// Returns the bound address, with the port chosen by the operating system if 0 was requested.
    ///
    /// # Errors
    ///
    /// Returns the operating system error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` completes, then closes all connections without waiting for calls in flight.
    pub async fn run(self, stop: impl Future<Output = ()> + 'static) {
        let stop: Stop = stop.boxed_local().shared();
        let accept = pin!(self.accept_all(stop.clone()));
        select(stop, accept).await;
    }

    async fn accept_all(&self, stop: Stop) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.open_connections.get() < SERVER_CONNECTIONS_LIMIT => {
                    self.spawn_connection(stream, stop.clone());
                }
                // At the limit: dropping the stream closes the connection.
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, stop: Stop) {
        let open = self.open_connections.clone();
        open.set(open.get() + 1);
        let (local, handlers) = (self.local.clone(), self.handlers.clone());
        monoio::spawn(async move {
            serve(stream, local, handlers, stop).await;
            open.set(open.get().saturating_sub(1));
        });
    }
}

/// Serves one connection until it closes, the server stops, or the hello times out.
async fn serve(stream: TcpStream, local: Rc<PeerIdentity>, handlers: Rc<PeerHandlers>, stop: Stop) {
    let Ok(network) = transport(stream, Side::Server) else { return };
    let accepted = Rc::new(Cell::new(false));
    let gate = Gate { local, handlers, accepted: accepted.clone(), in_flight: Rc::default() };
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let rpc = RpcSystem::new(network, Some(gate.client));
    let hello_timeout = async {
        sleep(HELLO_TIMEOUT).await;
        if accepted.get() {
            std::future::pending::<()>().await;
        }
    };
    let hello_timeout = pin!(hello_timeout);
    select(rpc, select(stop, hello_timeout)).await;
}
