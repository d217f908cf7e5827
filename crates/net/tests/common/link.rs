//! A TCP forwarder that simulates a network link between two hosts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

/// How the link treats data and new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[allow(dead_code)]
pub enum LinkMode {
    #[default]
    Forward,
    /// Delays every chunk by this time.
    Delay(Duration),
    /// Drops data from the connecting side; connections stay open.
    DropRequests,
    /// Drops data from the accepting side; connections stay open.
    DropReplies,
    /// Drops data from both sides; connections stay open and new ones are accepted.
    DropAll,
    /// Closes new connections immediately.
    Refuse,
}

/// A forwarder to one address. Clones share its state.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    mode: Rc<Cell<LinkMode>>,
    /// Connections with a lower number drop all data permanently.
    blackholed_below: Rc<Cell<u64>>,
    accepted: Rc<Cell<u64>>,
}

#[allow(dead_code)]
impl Link {
    /// Starts a forwarder to `target`.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            mode: Rc::default(),
            blackholed_below: Rc::default(),
            accepted: Rc::default(),
        };
        monoio::spawn(link.clone().accept(listener, target));
        link
    }

    pub fn set(&self, mode: LinkMode) {
        self.mode.set(mode);
    }

    /// Makes the open connections drop all data permanently; new ones are not affected.
    pub fn blackhole_open_connections(&self) {
        self.blackholed_below.set(self.accepted.get() + 1);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.get()
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            if self.mode.get() == LinkMode::Refuse {
                continue;
            }
            self.accepted.set(self.accepted.get() + 1);
            let Ok(far) = TcpStream::connect_addr(target).await else { continue };
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let number = self.accepted.get();
            monoio::spawn(self.clone().forward(
                near_read,
                far_write,
                LinkMode::DropRequests,
                number,
            ));
            monoio::spawn(self.clone().forward(
                far_read,
                near_write,
                LinkMode::DropReplies,
                number,
            ));
        }
    }

    /// Forwards one direction of a connection. `drop_mode` is the mode that drops only this direction.
    async fn forward(
        self,
        mut from: impl AsyncReadRent,
        mut to: impl AsyncWriteRent,
        drop_mode: LinkMode,
        number: u64,
    ) {
        let mut buf = Vec::with_capacity(16 * 1024);
        loop {
            let (read, bytes) = from.read(buf).await;
            if !matches!(read, Ok(n) if n > 0) {
                let _ = to.shutdown().await;
                return;
            }
            buf = bytes;
            let mode = self.mode.get();
            if let LinkMode::Delay(delay) = mode {
                monoio::time::sleep(delay).await;
            }
            if mode == drop_mode
                || mode == LinkMode::DropAll
                || number < self.blackholed_below.get()
            {
                buf.clear();
                continue;
            }
            let (written, bytes) = to.write_all(buf).await;
            if written.is_err() {
                return;
            }
            buf = bytes;
            buf.clear();
        }
    }
}
