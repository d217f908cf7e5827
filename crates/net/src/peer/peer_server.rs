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

/// The wait after a failed accept; the usual cause is a lack of file descriptors, which needs time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A signal that every connection of a server watches.
type Stop = Shared<LocalBoxFuture<'static, ()>>;

/// Listens for peers and serves one task for each connection.
pub struct PeerServer {
    listener: TcpListener,
    local: Rc<PeerIdentity>,
    handlers: Rc<PeerHandlers>,
    /// Connections that are open; at most `SERVER_CONNECTIONS_LIMIT`.
    open_connections: Rc<Cell<usize>>,
}

impl PeerServer {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be used.
    pub fn bind(
        address: SocketAddr,
        local: PeerIdentity,
        handlers: PeerHandlers,
    ) -> io::Result<Self> {
        Ok(Self::new(Self::listen(address)?, local, handlers))
    }

    /// Listens on an address before the handlers are known, so that a port that the system picks can be
    /// told to other hosts.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be used.
    pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
        let options = ListenerOpts::new().reuse_addr(true).reuse_port(false);
        TcpListener::bind_with_config(address, &options)
    }

    /// Makes a server of a listener.
    pub fn new(listener: TcpListener, local: PeerIdentity, handlers: PeerHandlers) -> Self {
        Self {
            listener,
            local: Rc::new(local),
            handlers: Rc::new(handlers),
            open_connections: Rc::default(),
        }
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` completes, and then closes every connection.
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
                // Dropping the stream closes the connection beyond the limit.
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

/// Serves one connection until it ends, until the server stops, or until it says no hello in time.
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
