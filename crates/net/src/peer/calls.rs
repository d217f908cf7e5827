//! The calls of a client. Each has a deadline, given as a duration from now.

use std::time::Duration;

use super::limits::MESSAGE_LIMIT_BYTES;
use super::{
    BundleChunk, BundleRequest, FormationAnswer, GatewayMessage, GroupId, PeerClient, PeerError,
    ProbeRequest, Proposal, ProposeReply, ReadQuery, ReadReply, wire,
};
use masticstair_core::message::{
    AppendReply, AppendRequest, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
use masticstair_core::unit::ByteCount;
use masticstair_policy::membership::GossipMessage;

impl PeerClient {
    /// Requests a vote.
    ///
    /// # Errors
    ///
    /// Every call returns `PeerError`; `PeerError::never_sent` returns whether the message certainly did not
    /// reach the peer.
    pub async fn vote(
        &self,
        group: GroupId,
        request: VoteRequest,
        timeout: Duration,
    ) -> Result<VoteReply, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.vote_request();
            call.get().set_group(group.get());
            wire::vote::write_request(call.get().init_request(), &request);
            let sent = call.send().promise;
            Ok(Box::pin(async move { Ok(wire::vote::read_reply(sent.await?.get()?.get_reply()?)) }))
        })
        .await
    }

    /// Sends log entries; without entries it is a heartbeat.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn append(
        &self,
        group: GroupId,
        request: AppendRequest,
        timeout: Duration,
    ) -> Result<AppendReply, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.append_request();
            call.get().set_group(group.get());
            wire::append::write_request(call.get().init_request(), &request);
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(
                async move { Ok(wire::append::read_reply(sent.await?.get()?.get_reply()?)) },
            ))
        })
        .await
    }

    /// Sends one chunk of a snapshot.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn snapshot(
        &self,
        group: GroupId,
        chunk: SnapshotChunk,
        timeout: Duration,
    ) -> Result<SnapshotReply, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.snapshot_request();
            call.get().set_group(group.get());
            wire::snapshot::write_chunk(call.get().init_chunk(), &chunk);
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(
                async move { Ok(wire::snapshot::read_reply(sent.await?.get()?.get_reply()?)) },
            ))
        })
        .await
    }

    /// Proposes a command to the leader. The budget of the proposal is the deadline of the call.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn propose(
        &self,
        group: GroupId,
        proposal: Proposal,
    ) -> Result<ProposeReply, PeerError> {
        self.call(proposal.budget, move |peer| {
            let mut call = peer.propose_request();
            call.get().set_group(group.get());
            call.get().set_command(&proposal.command);
            call.get().set_budget_ms(budget_ms(proposal.budget));
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(
                async move { Ok(wire::propose::read_reply(sent.await?.get()?.get_reply()?)?) },
            ))
        })
        .await
    }

    /// Reads at the leader. The budget of the query is the deadline of the call.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn read(&self, group: GroupId, query: ReadQuery) -> Result<ReadReply, PeerError> {
        self.call(query.budget, move |peer| {
            let mut call = peer.read_request();
            call.get().set_group(group.get());
            call.get().set_query(&query.query);
            call.get().set_budget_ms(budget_ms(query.budget));
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(
                async move { Ok(wire::read::read_reply(sent.await?.get()?.get_reply()?)?) },
            ))
        })
        .await
    }

    /// Sends gossip and returns the gossip of the peer.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn gossip(
        &self,
        message: GossipMessage,
        timeout: Duration,
    ) -> Result<GossipMessage, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.gossip_request();
            wire::gossip::write(call.get().init_request(), &message);
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(async move { Ok(wire::gossip::read(sent.await?.get()?.get_reply()?)?) }))
        })
        .await
    }

    /// Asks the peer to probe a third host and returns whether that host replied. The budget of the request
    /// is the deadline of the call.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn probe(&self, request: ProbeRequest) -> Result<bool, PeerError> {
        self.call(request.budget, move |peer| {
            let mut call = peer.probe_request();
            call.get().set_host(request.host.as_str());
            call.get().set_budget_ms(budget_ms(request.budget));
            let sent = call.send().promise;
            Ok(Box::pin(async move { Ok(sent.await?.get()?.get_answered()) }))
        })
        .await
    }

    /// Fetches one chunk of a bundle.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn bundle(
        &self,
        request: BundleRequest,
        timeout: Duration,
    ) -> Result<BundleChunk, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.bundle_request();
            call.get().set_revision(request.revision.get());
            call.get().set_offset(request.offset);
            let sent = call.send().promise;
            Ok(Box::pin(
                async move { Ok(wire::bundle::read_chunk(sent.await?.get()?.get_chunk()?)?) },
            ))
        })
        .await
    }

    /// Sends a message to the gateway of the peer. The budget of the message is the deadline of the call.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn gateway(&self, message: GatewayMessage) -> Result<Box<[u8]>, PeerError> {
        self.call(message.budget, move |peer| {
            let mut call = peer.gateway_request();
            call.get().set_request(&message.content);
            call.get().set_budget_ms(budget_ms(message.budget));
            check_size(call.get().into_reader().total_size())?;
            let sent = call.send().promise;
            Ok(Box::pin(async move { Ok(sent.await?.get()?.get_reply()?.into()) }))
        })
        .await
    }

    /// Asks for the state of the peer's data folder before a group is formed.
    ///
    /// # Errors
    ///
    /// See `vote`.
    pub async fn formation(
        &self,
        group: GroupId,
        timeout: Duration,
    ) -> Result<FormationAnswer, PeerError> {
        self.call(timeout, move |peer| {
            let mut call = peer.formation_request();
            call.get().set_group(group.get());
            let sent = call.send().promise;
            Ok(Box::pin(async move {
                Ok(wire::formation::read_answer(sent.await?.get()?.get_answer()?)?)
            }))
        })
        .await
    }
}

fn check_size(size: capnp::Result<capnp::MessageSize>) -> Result<(), PeerError> {
    let limit = ByteCount::new(MESSAGE_LIMIT_BYTES as u64);
    // The size cannot be computed if the message exceeds the traversal limit.
    let size = ByteCount::new(size.map_or(u64::MAX, |s| s.word_count.saturating_mul(8)));
    if size > limit { Err(PeerError::TooLarge { size, limit }) } else { Ok(()) }
}

fn budget_ms(budget: Duration) -> u32 {
    u32::try_from(budget.as_millis()).unwrap_or(u32::MAX)
}
