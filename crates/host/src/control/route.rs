//! Routes proposals and reads to the leader, local or remote.

use masticstair_core::message::Replica;
use masticstair_core::prelude::*;
use masticstair_net::peer::{GroupId, PeerClient, Proposal, ProposeReply, ReadQuery, ReadReply};
use masticstair_store::consensus::{ProposeError, ReadError, Refusal};
use std::time::{Duration, Instant};

use super::ControlError;
use super::call_outcome::CallOutcome;
use super::call_target::CallTarget;
use super::control_context::ControlContext;
use super::leader_read::leader_read;

/// Backoff before the next host is tried, unless the last one named another leader.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Timeout of one attempt for a small command. It bounds the time lost on a leader that is frozen or
/// partitioned off.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// The minimum throughput assumed for a large command; its size extends the timeout accordingly.
const MIN_BYTES_PER_MS: u64 = 8 << 10;
/// After this time without a leader, requests fail after `LEADERLESS_TIMEOUT` instead of their wait limit.
const LEADERLESS_GRACE: Duration = Duration::from_secs(2);
/// Wait limit of a request once the leader has been missing for `LEADERLESS_GRACE`.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(150);

/// Proposes an encoded command to the leader within `limit`.
pub(super) async fn propose(
    cx: &ControlContext,
    command: Box<[u8]>,
    limit: Duration,
) -> Result<Box<[u8]>, ControlError> {
    call_leader(cx, limit, async |target, remaining| match target {
        None => propose_local(cx, &command, remaining).await,
        Some(peer) => propose_remote(&peer, &command, remaining).await,
    })
    .await
}

/// Sends an encoded query to the leader within `limit`.
pub(super) async fn read(
    cx: &ControlContext,
    query: Box<[u8]>,
    limit: Duration,
) -> Result<Box<[u8]>, ControlError> {
    call_leader(cx, limit, async |target, remaining| match target {
        None => read_local(cx, &query, remaining).await,
        Some(peer) => read_remote(&peer, &query, remaining).await,
    })
    .await
}

/// Tries hosts until one answers as the leader, the outcome is unknown or `limit` has passed. `ask` gets
/// `None` for the local replica.
async fn call_leader(
    cx: &ControlContext,
    limit: Duration,
    ask: impl AsyncFn(Option<PeerClient>, Duration) -> CallOutcome,
) -> Result<Box<[u8]>, ControlError> {
    let leaderless =
        cx.leader.leaderless_since.get().is_some_and(|t| t.elapsed() > LEADERLESS_GRACE);
    let limit = if leaderless { limit.min(LEADERLESS_TIMEOUT) } else { limit };
    let deadline = Instant::now() + limit;
    let mut attempts = 0;
    let mut reason: Box<str> = "no leader is known".into();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            cx.leader.record_no_leader();
            return Err(ControlError::NotProposed(
                format!("no leader answered within {} ms: {reason}", limit.as_millis()).into(),
            ));
        }
        let (host, target) = next_target(cx, attempts);
        attempts += 1;
        let outcome = match target {
            CallTarget::None => CallOutcome::Retry(None, "no other host is known".into()),
            CallTarget::Local => ask(None, remaining).await,
            CallTarget::Remote(peer) => ask(Some(peer), remaining).await,
        };
        match outcome {
            CallOutcome::Done(reply) => {
                cx.leader.record_leader(host);
                return Ok(reply);
            }
            CallOutcome::Unknown(reason) => return Err(ControlError::Unknown(reason)),
            CallOutcome::Retry(hint, retry_reason) => {
                reason = retry_reason;
                let known = hint.is_some() && hint != host;
                *cx.leader.host.borrow_mut() = hint.filter(|_| known);
                if !known {
                    monoio::time::sleep(RETRY_BACKOFF.min(remaining)).await;
                }
            }
        }
    }
}

/// Returns the host for the next attempt: the hinted leader, otherwise the local replica and the other hosts
/// in turn.
fn next_target(cx: &ControlContext, attempts: usize) -> (Option<HostId>, CallTarget) {
    let snapshot = cx.membership.snapshot();
    let local = &cx.state.cfg.host;
    let hint = cx.leader.host.borrow().clone();
    if let Some(host) = hint.filter(|h| h != local)
        && let Some(peer) = snapshot.peer(&host)
    {
        return (Some(host), CallTarget::Remote(peer.clone()));
    }
    let others: Vec<_> = snapshot.hosts.iter().filter(|h| h.peer.is_some()).collect();
    let local_replicas = usize::from(cx.node().is_some());
    let position = attempts % (others.len() + local_replicas).max(1);
    if local_replicas == 1 && position == 0 {
        return (Some(local.clone()), CallTarget::Local);
    }
    let other = others.get(position - local_replicas);
    match other.and_then(|h| h.peer.clone().map(|peer| (h.record.host.clone(), peer))) {
        Some((host, peer)) => (Some(host), CallTarget::Remote(peer)),
        None => (None, CallTarget::None),
    }
}

async fn propose_local(cx: &ControlContext, command: &[u8], remaining: Duration) -> CallOutcome {
    let Some(node) = cx.node() else { return CallOutcome::Retry(None, "no replica here".into()) };
    match node.propose(command.into(), remaining).await {
        Ok(reply) => CallOutcome::Done(reply),
        Err(ProposeError::NotProposed(refusal)) => refusal_outcome(refusal),
        Err(e @ ProposeError::Unknown { .. }) => CallOutcome::Unknown(e.to_string().into()),
    }
}

fn refusal_outcome(refusal: Refusal) -> CallOutcome {
    let reason = refusal.to_string().into();
    match refusal {
        Refusal::NotLeader { leader } => CallOutcome::Retry(leader_host(leader), reason),
        _ => CallOutcome::Retry(None, reason),
    }
}

async fn propose_remote(peer: &PeerClient, command: &[u8], remaining: Duration) -> CallOutcome {
    let size_ms = command.len() as u64 / MIN_BYTES_PER_MS;
    let budget = remaining.min(LEADER_TIMEOUT + Duration::from_millis(size_ms));
    let proposal = Proposal { command: command.into(), budget };
    match peer.propose(GroupId::FIRST, proposal).await {
        Ok(ProposeReply::Applied(reply)) => CallOutcome::Done(reply),
        Ok(ProposeReply::Redirect(leader)) => {
            CallOutcome::Retry(leader, "the host does not lead".into())
        }
        Ok(ProposeReply::NotProposed(reason)) => CallOutcome::Retry(None, reason),
        Ok(ProposeReply::Unknown(reason)) => CallOutcome::Unknown(reason),
        Err(e) if e.never_sent() => CallOutcome::Retry(None, e.to_string().into()),
        Err(e) => CallOutcome::Unknown(e.to_string().into()),
    }
}

async fn read_local(cx: &ControlContext, query: &[u8], remaining: Duration) -> CallOutcome {
    let Some(node) = cx.node() else { return CallOutcome::Retry(None, "no replica here".into()) };
    match leader_read(&node, query, remaining).await {
        Ok(answer) => CallOutcome::Done(answer),
        Err(e) => {
            let reason = e.to_string().into();
            let leader = match e {
                ReadError::NotLeader { leader } => leader_host(leader),
                ReadError::TimedOut(_) => None,
            };
            CallOutcome::Retry(leader, reason)
        }
    }
}

async fn read_remote(peer: &PeerClient, query: &[u8], remaining: Duration) -> CallOutcome {
    let query = ReadQuery { query: query.into(), budget: remaining };
    match peer.read(GroupId::FIRST, query).await {
        Ok(ReadReply::Answer(answer)) => CallOutcome::Done(answer),
        Ok(ReadReply::Redirect(leader)) => {
            CallOutcome::Retry(leader, "the host does not lead".into())
        }
        Ok(ReadReply::Failed(reason)) => CallOutcome::Retry(None, reason),
        // A read has no effect, so it is safe to retry it on another host.
        Err(e) => CallOutcome::Retry(None, e.to_string().into()),
    }
}

fn leader_host(leader: Option<Replica>) -> Option<HostId> {
    leader.map(|replica| replica.host)
}
