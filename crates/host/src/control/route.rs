//! Brings proposals and reads to the leader, wherever it is.

use masticstair_core::message::Replica;
use masticstair_core::prelude::*;
use masticstair_net::peer::{GroupId, PeerClient, Proposal, ProposeReply, ReadQuery, ReadReply};
use masticstair_store::consensus::{ProposeError, ReadError, Refusal};
use std::time::{Duration, Instant};

use super::ControlError;
use super::context::ControlContext;
use super::leader_read::leader_read;

/// The wait before the leader is looked for again.
const RETRY_WAIT: Duration = Duration::from_millis(50);
/// How long one host may take for a small command; a leader that was frozen or cut off is found out by then.
const LEADER_LIMIT: Duration = Duration::from_millis(500);
/// The throughput that a large command is expected to reach at the least.
const MIN_BYTES_PER_MS: u64 = 8 << 10;
/// After this time without a leader, requests are refused at once and not after their limit.
const LEADERLESS_GRACE: Duration = Duration::from_secs(2);
/// How long a request may look for the leader after that.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(150);

/// How one host answered.
enum Step {
    /// The leader answered.
    Done(Box<[u8]>),
    /// The request certainly had no effect; this host may lead.
    Retry(Option<HostId>, Box<str>),
    /// The command may be committed.
    Unknown(Box<str>),
}

/// Proposes a command.
pub(super) async fn propose(
    cx: &ControlContext,
    command: Box<[u8]>,
    limit: Duration,
) -> Result<Box<[u8]>, ControlError> {
    find_leader(cx, limit, async |target, left| match target {
        None => propose_here(cx, &command, left).await,
        Some(peer) => propose_there(&peer, &command, left).await,
    })
    .await
}

/// Asks a query.
pub(super) async fn read(
    cx: &ControlContext,
    query: Box<[u8]>,
    limit: Duration,
) -> Result<Box<[u8]>, ControlError> {
    find_leader(cx, limit, async |target, left| match target {
        None => read_here(cx, &query, left).await,
        Some(peer) => read_there(&peer, &query, left).await,
    })
    .await
}

/// Tries hosts until one answers as the leader. `ask` gets `None` for the replica of this host.
async fn find_leader(
    cx: &ControlContext,
    limit: Duration,
    ask: impl AsyncFn(Option<PeerClient>, Duration) -> Step,
) -> Result<Box<[u8]>, ControlError> {
    let leaderless = cx.leader.missing_since.get().is_some_and(|t| t.elapsed() > LEADERLESS_GRACE);
    let limit = if leaderless { limit.min(LEADERLESS_LIMIT) } else { limit };
    let deadline = Instant::now() + limit;
    let mut tried = 0;
    let mut reason: Box<str> = "no leader is known".into();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            cx.leader.lost();
            return Err(ControlError::NotProposed(
                format!("no leader answered within {} ms: {reason}", limit.as_millis()).into(),
            ));
        }
        let (host, target) = next_target(cx, tried);
        tried += 1;
        let step = match target {
            Target::None => Step::Retry(None, "no other host is known".into()),
            Target::Here => ask(None, left).await,
            Target::Peer(peer) => ask(Some(peer), left).await,
        };
        match step {
            Step::Done(reply) => {
                cx.leader.found(host);
                return Ok(reply);
            }
            Step::Unknown(reason) => return Err(ControlError::Unknown(reason)),
            Step::Retry(hint, why) => {
                reason = why;
                let known = hint.is_some() && hint != host;
                *cx.leader.host.borrow_mut() = hint.filter(|_| known);
                if !known {
                    monoio::time::sleep(RETRY_WAIT.min(left)).await;
                }
            }
        }
    }
}

enum Target {
    None,
    Here,
    Peer(PeerClient),
}

/// Returns the host to ask: the one that is thought to lead, otherwise the own replica and then the other
/// hosts in turn.
fn next_target(cx: &ControlContext, tried: usize) -> (Option<HostId>, Target) {
    let snapshot = cx.membership.snapshot();
    let own = &cx.state.cfg.host;
    let hint = cx.leader.host.borrow().clone();
    if let Some(host) = hint.filter(|h| h != own)
        && let Some(peer) = snapshot.peer(&host)
    {
        return (Some(host), Target::Peer(peer.clone()));
    }
    let others: Vec<_> = snapshot.hosts.iter().filter(|h| h.peer.is_some()).collect();
    let here = usize::from(cx.node.is_some());
    let position = tried % (others.len() + here).max(1);
    if here == 1 && position == 0 {
        return (Some(own.clone()), Target::Here);
    }
    let other = others.get(position - here);
    match other.and_then(|h| h.peer.clone().map(|peer| (h.record.host.clone(), peer))) {
        Some((host, peer)) => (Some(host), Target::Peer(peer)),
        None => (None, Target::None),
    }
}

async fn propose_here(cx: &ControlContext, command: &[u8], left: Duration) -> Step {
    let Some(node) = &cx.node else { return Step::Retry(None, "no replica here".into()) };
    match node.propose(command.into(), left).await {
        Ok(reply) => Step::Done(reply),
        Err(ProposeError::NotProposed(refusal)) => refused(refusal),
        Err(e @ ProposeError::Unknown { .. }) => Step::Unknown(e.to_string().into()),
    }
}

fn refused(refusal: Refusal) -> Step {
    let reason = refusal.to_string().into();
    match refusal {
        Refusal::NotLeader { leader } => Step::Retry(host_of(leader), reason),
        _ => Step::Retry(None, reason),
    }
}

async fn propose_there(peer: &PeerClient, command: &[u8], left: Duration) -> Step {
    let size_ms = command.len() as u64 / MIN_BYTES_PER_MS;
    let budget = left.min(LEADER_LIMIT + Duration::from_millis(size_ms));
    let proposal = Proposal { command: command.into(), budget };
    match peer.propose(GroupId::FIRST, proposal).await {
        Ok(ProposeReply::Applied(reply)) => Step::Done(reply),
        Ok(ProposeReply::Redirect(leader)) => Step::Retry(leader, "the host does not lead".into()),
        Ok(ProposeReply::NotProposed(reason)) => Step::Retry(None, reason),
        Ok(ProposeReply::Unknown(reason)) => Step::Unknown(reason),
        Err(e) if e.never_sent() => Step::Retry(None, e.to_string().into()),
        Err(e) => Step::Unknown(e.to_string().into()),
    }
}

async fn read_here(cx: &ControlContext, query: &[u8], left: Duration) -> Step {
    let Some(node) = &cx.node else { return Step::Retry(None, "no replica here".into()) };
    match leader_read(node, query, left).await {
        Ok(answer) => Step::Done(answer),
        Err(e) => {
            let reason = e.to_string().into();
            let leader = match e {
                ReadError::NotLeader { leader } => host_of(leader),
                ReadError::TimedOut(_) => None,
            };
            Step::Retry(leader, reason)
        }
    }
}

async fn read_there(peer: &PeerClient, query: &[u8], left: Duration) -> Step {
    let query = ReadQuery { query: query.into(), budget: left };
    match peer.read(GroupId::FIRST, query).await {
        Ok(ReadReply::Answer(answer)) => Step::Done(answer),
        Ok(ReadReply::Redirect(leader)) => Step::Retry(leader, "the host does not lead".into()),
        Ok(ReadReply::Failed(reason)) => Step::Retry(None, reason),
        // A read has no effect, so another host may be asked.
        Err(e) => Step::Retry(None, e.to_string().into()),
    }
}

fn host_of(leader: Option<Replica>) -> Option<HostId> {
    leader.map(|replica| replica.host)
}
