//! Handlers for calls from peers: the replicated log, and messages between gateways.

use futures_channel::oneshot;
use futures_util::FutureExt;
use masticstair_core::id::Term;
use masticstair_core::message::{AppendRequest, SnapshotChunk, VoteRequest};
use masticstair_gateway::GatewayEvent;
use masticstair_net::peer::{
    CallRefused, FormationAnswer, GatewayMessage, GroupId, Handler, InGroup, PeerHandlers,
    Proposal, ProposeReply, ReadQuery, ReadReply,
};
use masticstair_store::consensus::{Node, ProposeError, ReadError, Refusal};
use masticstair_store::replica::LocalReplica;
use std::fmt::Display;
use std::future::Future;
use std::sync::Arc;

use super::leader_read::leader_read;
use crate::state::HostState;

/// The answer to calls while the replica does not run.
const NOT_RUNNING: &str = "the data folder of this host cannot be used at present";

/// Installs the handlers of the replicated log on a host with a replica. While its data folder cannot be used,
/// proposals and reads are answered, because their callers must know that nothing was proposed.
pub(super) fn install_replica(handlers: &mut PeerHandlers, replica: &LocalReplica) {
    handlers.vote = handler(replica, refuse, |node, req: InGroup<VoteRequest>| async move {
        node.vote(req.message).await
    });
    handlers.append = handler(replica, refuse, |node, req: InGroup<AppendRequest>| async move {
        node.append(req.message).await
    });
    handlers.snapshot = handler(replica, refuse, |node, req: InGroup<SnapshotChunk>| async move {
        node.snapshot(req.message).await
    });
    handlers.propose = handler(
        replica,
        || Ok(ProposeReply::NotProposed(NOT_RUNNING.into())),
        |node, req: InGroup<Proposal>| async move {
            let proposal = req.message;
            let reply = node.propose(proposal.command, proposal.budget).await;
            Ok::<_, CallRefused>(propose_reply(reply))
        },
    );
    handlers.read = handler(
        replica,
        || Ok(ReadReply::Failed(NOT_RUNNING.into())),
        |node, req: InGroup<ReadQuery>| async move {
            let query = req.message;
            let answer = leader_read(&node, &query.query, query.budget).await;
            Ok::<_, CallRefused>(read_reply(answer))
        },
    );
    handlers.formation = handler(replica, refuse, |node, _group: GroupId| async move {
        let answer = node.formation_answer();
        Ok::<_, CallRefused>(FormationAnswer {
            new: answer.log_is_empty,
            replica: Some(answer.replica.id),
            term: answer.term,
        })
    });
}

/// Installs the handlers of a host without a replica, which never leads and redirects to no host.
pub(super) fn install_without_replica(handlers: &mut PeerHandlers) {
    handlers.propose =
        Box::new(|_, _| std::future::ready(Ok(ProposeReply::Redirect(None))).boxed_local());
    handlers.read =
        Box::new(|_, _| std::future::ready(Ok(ReadReply::Redirect(None))).boxed_local());
    handlers.formation = Box::new(|_, _| {
        let answer = FormationAnswer { new: true, replica: None, term: Term::default() };
        std::future::ready(Ok(answer)).boxed_local()
    });
}

/// Installs the handler that forwards messages to the gateway of this host and waits for its answer.
pub(super) fn install_gateway(handlers: &mut PeerHandlers, state: &Arc<HostState>) {
    let state = state.clone();
    handlers.gateway = Box::new(move |caller, message: GatewayMessage| {
        let (reply, answer) = oneshot::channel();
        let from = caller.host.clone();
        state.notify_gateway(GatewayEvent::Message { from, content: message.content, reply });
        let budget = message.budget;
        async move {
            let refused = |e: &dyn Display| CallRefused::new(e.to_string());
            match monoio::time::timeout(budget, answer).await {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(_)) => Err(refused(&"the message was not answered")),
                Err(_) => Err(refused(&"the message was not answered in time")),
            }
        }
        .boxed_local()
    });
}

fn refuse<Reply>() -> Result<Reply, CallRefused> {
    Err(CallRefused::new(NOT_RUNNING))
}

/// Creates a handler that answers a call with the node of the local replica, or by `not_running` while there is
/// none. An error refuses the call with its text.
fn handler<Request: 'static, Reply: 'static, F, E: Display>(
    replica: &LocalReplica,
    not_running: impl Fn() -> Result<Reply, CallRefused> + 'static,
    answer: impl Fn(Node, Request) -> F + 'static,
) -> Handler<Request, Reply>
where
    F: Future<Output = Result<Reply, E>> + 'static,
{
    let replica = replica.clone();
    Box::new(move |_caller, req| {
        let Some(node) = replica.node() else {
            return std::future::ready(not_running()).boxed_local();
        };
        let answer = answer(node, req);
        async move { answer.await.map_err(|e| CallRefused::new(e.to_string())) }.boxed_local()
    })
}

fn propose_reply(reply: Result<Box<[u8]>, ProposeError>) -> ProposeReply {
    match reply {
        Ok(reply) => ProposeReply::Applied(reply),
        Err(ProposeError::NotProposed(Refusal::NotLeader { leader })) => {
            ProposeReply::Redirect(leader.map(|l| l.host))
        }
        Err(ProposeError::NotProposed(refusal)) => {
            ProposeReply::NotProposed(refusal.to_string().into())
        }
        Err(e @ ProposeError::Unknown { .. }) => ProposeReply::Unknown(e.to_string().into()),
    }
}

fn read_reply(answer: Result<Box<[u8]>, ReadError>) -> ReadReply {
    match answer {
        Ok(answer) => ReadReply::Answer(answer),
        Err(ReadError::NotLeader { leader }) => ReadReply::Redirect(leader.map(|l| l.host)),
        Err(e @ ReadError::TimedOut(_)) => ReadReply::Failed(e.to_string().into()),
    }
}
