use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;

use super::{BodyAborted, BodyClosed};

/// The sending half of a streamed body. Dropping it completes the body normally.
#[derive(Debug)]
pub struct BodySender(pub(super) mpsc::Sender<Result<Bytes, BodyAborted>>);

impl BodySender {
    /// Sends one chunk; waits while the channel is full, which applies backpressure from a slow client.
    ///
    /// # Errors
    ///
    /// Returns `BodyClosed` if the client closed the connection.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyClosed> {
        self.0.send(Ok(chunk)).await.map_err(|_| BodyClosed)
    }

    /// Closes the connection without the end of the body, so that the client detects the truncation.
    pub async fn abort(mut self) {
        // Fails only if the client has already closed the connection.
        let _ = self.0.send(Err(BodyAborted)).await;
    }
}
