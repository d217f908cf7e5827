use bytes::Bytes;
use futures_util::StreamExt;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

use super::{BodyAborted, ResponseContent};

/// Adapts `ResponseContent` to the `Body` trait of `http-body`.
pub(super) struct ResponseBody(pub(super) ResponseContent);

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.0 {
            ResponseContent::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseContent::Full(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ResponseContent::Events(events) => {
                events.poll_next_unpin(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
            ResponseContent::Stream(stream) => {
                stream.poll_next_unpin(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.0, ResponseContent::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            ResponseContent::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseContent::Events(_) | ResponseContent::Stream(_) => SizeHint::new(),
        }
    }
}
