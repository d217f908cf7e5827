use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::call_slot::CallSlot;
use super::limits::{MESSAGE_LIMIT_BYTES, REPLY_MARGIN};
use super::{
    BundleRequest, CallRefused, GatewayMessage, GroupId, InGroup, PeerHandlers, PeerIdentity,
    ProbeRequest, Proposal, ProposeReply, ReadQuery, ReadReply, wire,
};
use crate::generated::peer_capnp::peer;
use masticstair_core::id::Revision;
use monoio::time::timeout;

/// Serves the calls of a peer whose hello was accepted.
pub(crate) struct Service {
    pub(crate) caller: PeerIdentity,
    pub(crate) handlers: Rc<PeerHandlers>,
    pub(crate) in_flight: Rc<Cell<usize>>,
}

impl peer::Server for Service {
    async fn vote(
        self: Rc<Self>,
        params: peer::VoteParams,
        mut results: peer::VoteResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let message = wire::vote::read_request(params.get_request()?)?;
        let group = GroupId::new(params.get_group());
        let reply = (self.handlers.vote)(&self.caller, InGroup { group, message }).await?;
        wire::vote::write_reply(results.get().init_reply(), reply);
        Ok(())
    }

    async fn append(
        self: Rc<Self>,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let message = wire::append::read_request(params.get_request()?)?;
        let group = GroupId::new(params.get_group());
        let reply = (self.handlers.append)(&self.caller, InGroup { group, message }).await?;
        wire::append::write_reply(results.get().init_reply(), reply);
        Ok(())
    }

    async fn snapshot(
        self: Rc<Self>,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let message = wire::snapshot::read_chunk(params.get_chunk()?)?;
        let group = GroupId::new(params.get_group());
        let reply = (self.handlers.snapshot)(&self.caller, InGroup { group, message }).await?;
        wire::snapshot::write_reply(results.get().init_reply(), reply);
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let budget = handler_budget(params.get_budget_ms());
        let message = Proposal { command: params.get_command()?.into(), budget };
        let group = GroupId::new(params.get_group());
        let call = (self.handlers.propose)(&self.caller, InGroup { group, message });
        let reply = match timeout(budget, call).await {
            Ok(reply) => reply?,
            Err(_) => ProposeReply::Unknown(deadline_reason(budget)),
        };
        let mut out = results.get();
        wire::propose::write_reply(out.reborrow().init_reply(), &reply);
        check_size(out.into_reader().total_size()?.word_count)
    }

    async fn read(
        self: Rc<Self>,
        params: peer::ReadParams,
        mut results: peer::ReadResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let budget = handler_budget(params.get_budget_ms());
        let message = ReadQuery { query: params.get_query()?.into(), budget };
        let group = GroupId::new(params.get_group());
        let call = (self.handlers.read)(&self.caller, InGroup { group, message });
        let reply = match timeout(budget, call).await {
            Ok(reply) => reply?,
            Err(_) => ReadReply::Failed(deadline_reason(budget)),
        };
        let mut out = results.get();
        wire::read::write_reply(out.reborrow().init_reply(), &reply);
        check_size(out.into_reader().total_size()?.word_count)
    }

    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let message = wire::gossip::read(params.get()?.get_request()?)?;
        let reply = (self.handlers.gossip)(&self.caller, message).await?;
        let mut out = results.get();
        wire::gossip::write(out.reborrow().init_reply(), &reply);
        check_size(out.into_reader().total_size()?.word_count)
    }

    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let host = wire::text::read_name("host", params.get_host())?;
        let budget = handler_budget(params.get_budget_ms());
        let call = (self.handlers.probe)(&self.caller, ProbeRequest { host, budget });
        let answered = timeout(budget, call).await.unwrap_or(Ok(false))?;
        results.get().set_answered(answered);
        Ok(())
    }

    async fn bundle(
        self: Rc<Self>,
        params: peer::BundleParams,
        mut results: peer::BundleResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let request = BundleRequest {
            revision: Revision::new(params.get_revision()),
            offset: params.get_offset(),
        };
        let chunk = (self.handlers.bundle)(&self.caller, request).await?;
        let mut out = results.get();
        wire::bundle::write_chunk(out.reborrow().init_chunk(), &chunk);
        check_size(out.into_reader().total_size()?.word_count)
    }

    async fn formation(
        self: Rc<Self>,
        params: peer::FormationParams,
        mut results: peer::FormationResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let group = GroupId::new(params.get()?.get_group());
        let answer = (self.handlers.formation)(&self.caller, group).await?;
        wire::formation::write_answer(results.get().init_answer(), answer);
        Ok(())
    }

    async fn gateway(
        self: Rc<Self>,
        params: peer::GatewayParams,
        mut results: peer::GatewayResults,
    ) -> Result<(), capnp::Error> {
        let _slot = CallSlot::try_acquire(&self.in_flight)?;
        let params = params.get()?;
        let budget = handler_budget(params.get_budget_ms());
        let message = GatewayMessage { content: params.get_request()?.into(), budget };
        let reply = (self.handlers.gateway)(&self.caller, message).await?;
        let mut out = results.get();
        out.set_reply(&reply);
        check_size(out.into_reader().total_size()?.word_count)
    }
}

/// Returns the timeout for the handler: the caller's deadline less the time reserved for the reply, at
/// most a quarter of it.
fn handler_budget(budget_ms: u32) -> Duration {
    let budget = Duration::from_millis(budget_ms.into());
    budget.saturating_sub(REPLY_MARGIN.min(budget / 4))
}

fn deadline_reason(budget: Duration) -> Box<str> {
    format!("no result within {} ms", budget.as_millis()).into()
}

fn check_size(words: u64) -> Result<(), capnp::Error> {
    let size = words.saturating_mul(8);
    if size <= MESSAGE_LIMIT_BYTES as u64 {
        return Ok(());
    }
    Err(CallRefused::new(format!(
        "answer has {size} bytes (at most {MESSAGE_LIMIT_BYTES} are allowed)"
    ))
    .into())
}
