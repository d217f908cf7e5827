use futures_util::future::LocalBoxFuture;
use masticstair_core::message::{
    AppendReply, AppendRequest, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};

use super::LinkError;

/// A call of `PeerLink`. The node bounds the wait itself and drops calls that it no longer needs.
pub type Call<T> = LocalBoxFuture<'static, Result<T, LinkError>>;

/// The way to another replica.
pub struct PeerLink {
    /// Asks for a vote, or asks the replica to stand when the request names it as the candidate.
    pub vote: Box<dyn Fn(VoteRequest) -> Call<VoteReply>>,
    /// Sends entries or a heartbeat.
    pub append: Box<dyn Fn(AppendRequest) -> Call<AppendReply>>,
    /// Sends a piece of a snapshot.
    pub snapshot: Box<dyn Fn(SnapshotChunk) -> Call<SnapshotReply>>,
}
