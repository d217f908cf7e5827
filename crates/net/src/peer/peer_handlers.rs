use std::future::ready;

use super::{
    BundleChunk, BundleRequest, CallRefused, FormationAnswer, GatewayMessage, GroupId, InGroup,
    PeerIdentity, ProbeRequest, Proposal, ProposeReply, ReadQuery, ReadReply,
};
use futures_util::future::LocalBoxFuture;
use masticstair_core::message::{
    AppendReply, AppendRequest, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
use masticstair_policy::membership::GossipMessage;

/// Handles one kind of call; receives the identity of the caller and the message.
pub type Handler<Request, Reply> =
    Box<dyn Fn(&PeerIdentity, Request) -> LocalBoxFuture<'static, Result<Reply, CallRefused>>>;

/// The handlers for the calls of peers.
pub struct PeerHandlers {
    /// Handles a vote request.
    pub vote: Handler<InGroup<VoteRequest>, VoteReply>,
    /// Handles log entries or a heartbeat from a leader.
    pub append: Handler<InGroup<AppendRequest>, AppendReply>,
    /// Handles one chunk of a snapshot.
    pub snapshot: Handler<InGroup<SnapshotChunk>, SnapshotReply>,
    /// Handles a command for the leader. If it exceeds the budget, the caller receives `Unknown`.
    pub propose: Handler<InGroup<Proposal>, ProposeReply>,
    /// Handles a read at the leader. If it exceeds the budget, the caller receives `Failed`.
    pub read: Handler<InGroup<ReadQuery>, ReadReply>,
    /// Handles gossip; the reply has what the sender lacks.
    pub gossip: Handler<GossipMessage, GossipMessage>,
    /// Probes a third host; the reply is whether that host replied within the budget.
    pub probe: Handler<ProbeRequest, bool>,
    /// Returns one chunk of a bundle.
    pub bundle: Handler<BundleRequest, BundleChunk>,
    /// Returns the state of the data folder.
    pub formation: Handler<GroupId, FormationAnswer>,
    /// Handles a message of the gateway. The caller ignores a reply after the budget.
    pub gateway: Handler<GatewayMessage, Box<[u8]>>,
}

impl PeerHandlers {
    /// Creates handlers that refuse every call. A host replaces those for the calls that it serves.
    pub fn refusing() -> Self {
        Self {
            vote: refuse("vote"),
            append: refuse("append"),
            snapshot: refuse("snapshot"),
            propose: refuse("propose"),
            read: refuse("read"),
            gossip: refuse("gossip"),
            probe: refuse("probe"),
            bundle: refuse("bundle"),
            formation: refuse("formation"),
            gateway: refuse("gateway"),
        }
    }
}

fn refuse<Request: 'static, Reply: 'static>(call: &'static str) -> Handler<Request, Reply> {
    Box::new(move |_, _| {
        let refused = CallRefused::new(format!("this host does not serve the call {call}"));
        Box::pin(ready(Err(refused)))
    })
}
