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

/// Answers one kind of call; gets the identity of the caller and the message.
pub type Handler<Request, Reply> =
    Box<dyn Fn(&PeerIdentity, Request) -> LocalBoxFuture<'static, Result<Reply, CallRefused>>>;

/// What a host does with the calls of its peers.
pub struct PeerHandlers {
    /// A request for a vote.
    pub vote: Handler<InGroup<VoteRequest>, VoteReply>,
    /// Entries or a heartbeat of a leader.
    pub append: Handler<InGroup<AppendRequest>, AppendReply>,
    /// A piece of a snapshot.
    pub snapshot: Handler<InGroup<SnapshotChunk>, SnapshotReply>,
    /// A command for the leader; an answer after the budget is `Unknown`.
    pub propose: Handler<InGroup<Proposal>, ProposeReply>,
    /// A read at the leader; an answer after the budget is `Failed`.
    pub read: Handler<InGroup<ReadQuery>, ReadReply>,
    /// Gossip; the answer is what the sender lacks.
    pub gossip: Handler<GossipMessage, GossipMessage>,
    /// A probe of another host; the answer tells whether that host answered.
    pub probe: Handler<ProbeRequest, bool>,
    /// A piece of a bundle.
    pub bundle: Handler<BundleRequest, BundleChunk>,
    /// Whether the data folder is new.
    pub formation: Handler<GroupId, FormationAnswer>,
    /// A message of the gateway; an answer after the budget is dropped by the caller.
    pub gateway: Handler<GatewayMessage, Box<[u8]>>,
}

impl PeerHandlers {
    /// Makes handlers that refuse every call. A host replaces those for the calls that it serves.
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
