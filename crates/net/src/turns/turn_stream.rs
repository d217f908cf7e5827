use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use super::turn::PAUSE;
use super::{Progress, Turn};

/// A polled stream that pauses after each turn, and ends if its peer sends too much that is no message.
pub(crate) struct TurnStream<S> {
    inner: S,
    turn: Turn,
    /// The pause after a turn, until it has passed.
    pause: Option<LocalBoxFuture<'static, ()>>,
    /// `None` if the reader bounds its messages itself.
    progress: Option<Progress>,
}

impl<S> TurnStream<S> {
    pub(crate) fn new(inner: S, progress: Option<Progress>) -> Self {
        Self { inner, turn: Turn::default(), pause: None, progress }
    }

    pub(crate) fn into_inner(self) -> S {
        self.inner
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TurnStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn.has_ended() {
            self.turn.record_wait();
            self.pause = Some(monoio::time::sleep(PAUSE).boxed_local());
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.poll_unpin(cx));
            self.pause = None;
        }
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(cx, buf) else {
            self.turn.record_wait();
            return Poll::Pending;
        };
        read?;
        let bytes = buf.filled().len() - before;
        self.turn.record_read(bytes);
        Poll::Ready(self.progress.as_ref().map_or(Ok(()), |progress| progress.record_read(bytes)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TurnStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.turn.record_write();
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        self.turn.record_write();
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
