use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;

use super::{BodyAborted, BodyClosed};

/// The sending side of a streamed body. Dropping it ends the body as complete.
#[derive(Debug)]
pub struct BodySender(pub(super) mpsc::Sender<Result<Bytes, BodyAborted>>);

impl BodySender {
    /// Sends one piece; waits while the caller reads too slowly.
    ///
    /// # Errors
    ///
    /// Returns `BodyClosed` when the caller closed the connection.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyClosed> {
        self.0.send(Ok(chunk)).await.map_err(|_| BodyClosed)
    }

    /// Closes the connection, so that the caller sees that the body is not complete.
    pub async fn abort(mut self) {
        // A caller that is gone needs no word.
        let _ = self.0.send(Err(BodyAborted)).await;
    }
}
