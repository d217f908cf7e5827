use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use super::traffic::{BYTES_READ, BYTES_WRITTEN};
use futures_util::{AsyncRead, AsyncWrite};

/// A stream that adds its bytes to the totals of `Traffic`.
pub(crate) struct CountedStream<T>(pub(crate) T);

impl<T: AsyncRead + Unpin> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            BYTES_READ.fetch_add(count as u64, Ordering::Relaxed);
        }
        poll
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            BYTES_WRITTEN.fetch_add(count as u64, Ordering::Relaxed);
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
