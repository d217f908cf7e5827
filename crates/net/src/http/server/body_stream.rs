use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{SinkExt, Stream};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// Pieces that wait for the caller; the sender waits when there are more.
const PIECES_BUFFERED: usize = 16;

/// The receiving side of a streamed body. Dropping it closes the sender.
#[derive(Debug)]
pub struct BodyStream(mpsc::Receiver<Result<Bytes, BodyAborted>>);

/// The sending side of a streamed body. Dropping it ends the body as complete.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Result<Bytes, BodyAborted>>);

/// The caller closed the connection before the body ended.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller closed the connection before the body ended")]
pub struct BodyClosed;

/// The sender cannot complete the body; the connection is closed without its end.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the body cannot be completed")]
pub struct BodyAborted;

/// Makes a streamed body.
pub fn body_stream() -> (BodySender, BodyStream) {
    let (tx, rx) = mpsc::channel(PIECES_BUFFERED);
    (BodySender(tx), BodyStream(rx))
}

impl BodySender {
    /// Sends one piece; waits while the caller reads too slowly.
    ///
    /// # Errors
    ///
    /// Returns `BodyClosed` when the caller closed the connection.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), BodyClosed> {
        self.0.send(Ok(piece)).await.map_err(|_| BodyClosed)
    }

    /// Closes the connection, so that the caller sees that the body is not complete.
    pub async fn abort(mut self) {
        // A caller that is gone needs no word.
        let _ = self.0.send(Err(BodyAborted)).await;
    }
}

impl Stream for BodyStream {
    type Item = Result<Bytes, BodyAborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.0).poll_next(cx)
    }
}
