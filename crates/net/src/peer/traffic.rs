use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_util::{AsyncRead, AsyncWrite};
use masticstair_core::unit::ByteCount;

static READ: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Bytes of all connections between this process and its peers since the start, without the headers of TCP
/// and IP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes received.
    pub read: ByteCount,
    /// Bytes sent.
    pub written: ByteCount,
}

impl Traffic {
    /// Returns the counts as of now.
    pub fn of_process() -> Self {
        Self {
            read: ByteCount::new(READ.load(Ordering::Relaxed)),
            written: ByteCount::new(WRITTEN.load(Ordering::Relaxed)),
        }
    }
}

/// A stream whose bytes are counted.
pub(crate) struct Counted<T>(pub(crate) T);

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            READ.fetch_add(count as u64, Ordering::Relaxed);
        }
        poll
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            WRITTEN.fetch_add(count as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
