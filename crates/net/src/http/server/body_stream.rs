use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::{BodyAborted, BodySender};

/// Capacity of the channel; `BodySender::send` waits while it is full.
const BUFFERED_CHUNKS: usize = 16;

/// The receiving half of a streamed body. After it is dropped, `BodySender::send` fails.
#[derive(Debug)]
pub struct BodyStream(mpsc::Receiver<Result<Bytes, BodyAborted>>);

/// Creates a streamed body: the sender for the handler and the stream for the response.
pub fn body_stream() -> (BodySender, BodyStream) {
    let (tx, rx) = mpsc::channel(BUFFERED_CHUNKS);
    (BodySender(tx), BodyStream(rx))
}

impl Stream for BodyStream {
    type Item = Result<Bytes, BodyAborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.0).poll_next(cx)
    }
}
