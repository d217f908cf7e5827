use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use masticstair_core::prelude::*;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use super::connection_memory::ConnectionMemory;
use crate::memory::RefusalCause;

/// How long a connection whose head needs more room is not read.
const ROOM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How often it asks for room meanwhile.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A polled stream that counts what its connection buffers, and is not read while there is no room for it.
pub(super) struct CountedStream<S> {
    inner: S,
    memory: Rc<ConnectionMemory>,
    /// Since when a read has waited for room.
    waits_since: Option<Timestamp>,
    /// The pause until the next question.
    pause: Option<LocalBoxFuture<'static, ()>>,
}

impl<S> CountedStream<S> {
    pub(super) fn new(inner: S, memory: Rc<ConnectionMemory>) -> Self {
        Self { inner, memory, waits_since: None, pause: None }
    }

    pub(super) fn into_inner(self) -> S {
        self.inner
    }

    /// Waits for room for a read of up to `spare` bytes.
    fn poll_room(&mut self, cx: &mut Context<'_>, spare: usize) -> Poll<io::Result<()>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.poll_unpin(cx));
                self.pause = None;
            }
            if self.memory.admit_read(spare) {
                self.waits_since = None;
                return Poll::Ready(Ok(()));
            }
            let now = self.memory.account().now();
            let since = *self.waits_since.get_or_insert(now);
            if now.since(since) >= ROOM_TIMEOUT {
                self.memory.account().count_refusal(RefusalCause::NoRoom);
                return Poll::Ready(Err(io::Error::other("no memory is left for the head")));
            }
            self.memory.make_room(since);
            self.pause = Some(monoio::time::sleep(ROOM_POLL_INTERVAL).boxed_local());
        }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.memory.record_write(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.memory.record_blocked(),
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_room(cx, buf.remaining()))?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.memory.record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.memory.record_pending(buf.len());
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.memory.record_pending(bufs.iter().map(|buf| buf.len()).sum());
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
