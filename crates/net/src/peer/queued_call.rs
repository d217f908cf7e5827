use super::PeerError;
use super::call_outcome::CallOutcome;
use crate::generated::peer_capnp::peer;
use futures_util::future::LocalBoxFuture;

/// Starts a call on a connection, or fails it if there is no connection.
type Start = Box<
    dyn FnOnce(Result<&peer::Client, PeerError>) -> LocalBoxFuture<'static, CallOutcome> + Send,
>;

/// A call in the queue of the task that owns the connection.
pub(crate) struct QueuedCall(Start);

impl QueuedCall {
    pub(crate) fn new(
        start: impl FnOnce(Result<&peer::Client, PeerError>) -> LocalBoxFuture<'static, CallOutcome>
        + Send
        + 'static,
    ) -> Self {
        Self(Box::new(start))
    }

    /// Starts the call; the future completes with the reply or at the deadline.
    pub(crate) fn start(self, peer: &peer::Client) -> LocalBoxFuture<'static, CallOutcome> {
        (self.0)(Ok(peer))
    }

    /// Fails the call without sending it.
    pub(crate) async fn fail(self, reason: PeerError) {
        (self.0)(Err(reason)).await;
    }
}
