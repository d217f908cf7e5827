use super::PeerError;
use crate::generated::peer_capnp::peer;
use futures_util::future::LocalBoxFuture;

/// How a call ended, for the connection that carried it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobEnd {
    /// The peer answered, with a result or an error.
    Answered,
    /// The connection cannot be trusted any more.
    ConnectionDead,
    /// Nothing was sent.
    NotSent,
}

/// Starts a call over a connection, or tells its caller why there is none.
type Start =
    Box<dyn FnOnce(Result<&peer::Client, PeerError>) -> LocalBoxFuture<'static, JobEnd> + Send>;

/// A call on its way to the task that owns the connection.
pub(crate) struct Job(Start);

impl Job {
    pub(crate) fn new(
        start: impl FnOnce(Result<&peer::Client, PeerError>) -> LocalBoxFuture<'static, JobEnd>
        + Send
        + 'static,
    ) -> Self {
        Self(Box::new(start))
    }

    /// Starts the call; the future completes with the answer or at the deadline.
    pub(crate) fn start(self, peer: &peer::Client) -> LocalBoxFuture<'static, JobEnd> {
        (self.0)(Ok(peer))
    }

    /// Ends the call without sending it.
    pub(crate) async fn refuse(self, reason: PeerError) {
        (self.0)(Err(reason)).await;
    }
}
