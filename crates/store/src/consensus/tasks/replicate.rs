use futures_util::future::{Either, FutureExt, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use futures_util::{StreamExt, pin_mut};
use masticstair_core::message::{AppendRequest, Replica, SnapshotChunk};
use masticstair_core::unit::Millis;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use super::handle_reply::handle_reply;
use super::next_step::next_step;
use super::peer_reply::PeerReply;
use super::replication_step::ReplicationStep;
use crate::consensus::shared::Shared;
use crate::consensus::{LinkError, PeerLink};

/// Replicates the log to one peer while this replica leads the term and the peer is a member.
pub(crate) async fn replicate(shared: Rc<Shared>, peer: Replica, task_id: u64) {
    let link = shared.link(&peer);
    let mut calls = FuturesUnordered::new();
    loop {
        let seen = shared.signals.state_changed.version();
        let step = {
            let mut state = shared.state.borrow_mut();
            next_step(&mut state, &shared.cfg, shared.local_replica.id, peer.id, task_id)
        };
        match step {
            ReplicationStep::End => return,
            ReplicationStep::Heartbeat(req) => calls.push(heartbeat(&shared, &link, req)),
            ReplicationStep::Append(req) => calls.push(append(&shared, &link, req)),
            ReplicationStep::Chunk(chunk) => calls.push(send_chunk(&shared, &link, *chunk)),
            ReplicationStep::Wait(wait) => {
                if let Some(peer_reply) = next_reply(&shared, &mut calls, seen, wait).await {
                    handle_reply(&shared, peer.id, task_id, peer_reply);
                }
            }
        }
    }
}

/// Waits for a reply; returns `None` when the state changed or `wait` elapsed.
async fn next_reply(
    shared: &Shared,
    calls: &mut FuturesUnordered<LocalBoxFuture<'static, PeerReply>>,
    seen: u64,
    wait: Duration,
) -> Option<PeerReply> {
    let state_changed = shared.signals.state_changed.changed_since(seen);
    pin_mut!(state_changed);
    if calls.is_empty() {
        let _ = monoio::time::timeout(wait, state_changed).await;
        return None;
    }
    match monoio::time::timeout(wait, select(calls.next(), state_changed)).await {
        Ok(Either::Left((peer_reply, _))) => peer_reply,
        Ok(Either::Right(_)) | Err(_) => None,
    }
}

fn heartbeat(
    shared: &Shared,
    link: &PeerLink,
    req: AppendRequest,
) -> LocalBoxFuture<'static, PeerReply> {
    let last = req.prev_index;
    let call = bounded((link.append)(req), shared.cfg.call_timeout);
    call.map(move |reply| PeerReply::Heartbeat { last, reply }).boxed_local()
}

fn append(
    shared: &Shared,
    link: &PeerLink,
    req: AppendRequest,
) -> LocalBoxFuture<'static, PeerReply> {
    let last = req.entries.last().map_or(req.prev_index, |e| e.index);
    let limit = shared.cfg.append_timeout(&req);
    let call = bounded((link.append)(req), limit);
    call.map(move |reply| PeerReply::Append { last, reply }).boxed_local()
}

fn send_chunk(
    shared: &Shared,
    link: &PeerLink,
    chunk: SnapshotChunk,
) -> LocalBoxFuture<'static, PeerReply> {
    let (index, size, offset) = (chunk.meta.index, chunk.meta.size, chunk.offset);
    let call = bounded((link.snapshot)(chunk), shared.cfg.snapshot_timeout);
    call.map(move |reply| PeerReply::Chunk { index, size, offset, reply }).boxed_local()
}

/// Applies a timeout to a call, since an open connection may stay silent indefinitely.
async fn bounded<T>(
    call: impl Future<Output = Result<T, LinkError>>,
    limit: Millis,
) -> Result<T, LinkError> {
    match monoio::time::timeout(limit.duration(), call).await {
        Ok(reply) => reply,
        Err(_) => Err(LinkError::TimedOut(limit)),
    }
}
