use futures_util::future::LocalBoxFuture;
use masticstair_core::message::{
    AppendReply, AppendRequest, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};

use super::LinkError;

/// The future of a `PeerLink` call. The node applies its own timeouts and drops calls that it no longer
/// needs.
pub type Call<T> = LocalBoxFuture<'static, Result<T, LinkError>>;

/// The calls to another replica.
pub struct PeerLink {
    /// Sends a vote request, or a transfer request when the receiver is named as the candidate.
    pub vote: Box<dyn Fn(VoteRequest) -> Call<VoteReply>>,
    /// Sends entries, or a heartbeat without entries.
    pub append: Box<dyn Fn(AppendRequest) -> Call<AppendReply>>,
    /// Sends a snapshot chunk.
    pub snapshot: Box<dyn Fn(SnapshotChunk) -> Call<SnapshotReply>>,
}
