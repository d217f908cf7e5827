use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::{BodyAborted, BodySender};

/// Pieces that wait for the caller; the sender waits when there are more.
const BUFFERED_CHUNKS: usize = 16;

/// The receiving side of a streamed body. Dropping it closes the sender.
#[derive(Debug)]
pub struct BodyStream(mpsc::Receiver<Result<Bytes, BodyAborted>>);

/// Makes a streamed body.
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
