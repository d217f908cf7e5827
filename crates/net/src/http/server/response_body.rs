use bytes::Bytes;
use futures_util::StreamExt;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use super::connection_memory::ConnectionMemory;
use super::{BodyAborted, ResponseContent};

/// Adapts `ResponseContent` to the `Body` trait of `http-body`. The library drops it once it has taken the whole body.
pub(super) struct ResponseBody {
    content: ResponseContent,
    memory: Rc<ConnectionMemory>,
}

impl ResponseBody {
    pub(super) fn new(content: ResponseContent, memory: Rc<ConnectionMemory>) -> Self {
        Self { content, memory }
    }

    pub(super) fn has_size(&self) -> bool {
        self.content.size().is_some()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.content {
            ResponseContent::Full(bytes) | ResponseContent::Counted(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
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
        self.content.size() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        match self.content.size() {
            Some(size) => SizeHint::with_exact(size as u64),
            None => SizeHint::new(),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.memory.end_answer();
    }
}
