use bytes::Bytes;
use futures_util::future::{AbortHandle, Abortable};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use masticstair_core::id::ConnectionNumber;
use masticstair_core::unit::{ByteCount, Millis};
use masticstair_policy::memory_account::MemoryKind;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::RelayError;
use crate::memory::MemoryAccount;
use crate::turns::{Progress, TurnStream};

/// The bytes of a response that are read before a part of it is used; a larger head is refused.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// The bytes that an endpoint may send without a response head or a piece of a body, as interim responses do, or a chunk
/// size without end.
const MAX_UNUSED: ByteCount = ByteCount::new(256 << 10);

/// What is read ahead from an endpoint that sends more than the one who takes it: a piece that waits, and a buffer.
const READ_AHEAD: ByteCount = ByteCount::new(3 * MAX_BUFFERED_BYTES as u64);

/// A connection to an endpoint. Dropping it closes the connection, which cancels the request on it.
pub(super) struct RelayConnection {
    pub(super) number: ConnectionNumber,
    pub(super) addr: SocketAddr,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// When the last response on this connection was complete, or when it was opened.
    pub(super) last_response: Instant,
    /// The response that is being read.
    pub(super) progress: Progress,
    task: AbortHandle,
}

impl RelayConnection {
    /// Connects; fails with `ConnectTimeout` after `timeout`.
    pub(super) async fn open(
        number: ConnectionNumber,
        addr: SocketAddr,
        timeout: Duration,
        account: &MemoryAccount,
    ) -> Result<Self, RelayError> {
        let connect = async {
            let stream = TcpStream::connect(addr).await?;
            // Requests are written in one go, so Nagle's algorithm would only delay them.
            stream.set_nodelay(true)?;
            stream.into_poll_io()
        };
        let stream = match monoio::time::timeout(timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return Err(RelayError::Connect { addr, source }),
            Err(_) => {
                let timeout = Millis::new(timeout.as_millis() as u64);
                return Err(RelayError::ConnectTimeout(addr, timeout));
            }
        };
        let progress = Progress::new(MAX_UNUSED, account.share(MemoryKind::Answer), READ_AHEAD);
        let stream = TurnStream::new(stream, Some(progress.clone()));
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(MonoioIo::new(stream))
            .await
            .map_err(|e| RelayError::Connect { addr, source: std::io::Error::other(e) })?;
        let (task, registration) = AbortHandle::new_pair();
        // Connection errors are reported through the pending request, so the result is not used.
        monoio::spawn(Abortable::new(connection, registration));
        Ok(Self { number, addr, sender, last_response: Instant::now(), progress, task })
    }
}

impl Drop for RelayConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
