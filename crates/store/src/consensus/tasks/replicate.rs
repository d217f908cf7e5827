use futures_util::future::{Either, FutureExt, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use futures_util::{StreamExt, pin_mut};
use masticstair_core::message::{AppendRequest, Replica, SnapshotChunk};
use masticstair_core::unit::Millis;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use super::answer::Answer;
use super::handle_answer::handle_answer;
use super::next_message::next_message;
use super::outgoing::Outgoing;
use crate::consensus::shared::Shared;
use crate::consensus::{LinkError, PeerLink};

/// Replicates the log to one peer for as long as this replica leads the term and the peer is a member.
pub(crate) async fn replicate(shared: Rc<Shared>, peer: Replica, task: u64) {
    let link = shared.link(&peer);
    let mut calls = FuturesUnordered::new();
    loop {
        let seen = shared.signals.changed.version();
        let outgoing = {
            let mut state = shared.state.borrow_mut();
            next_message(&mut state, &shared.cfg, shared.me.id, peer.id, task)
        };
        match outgoing {
            Outgoing::End => return,
            Outgoing::Heartbeat(req) => calls.push(heartbeat(&shared, &link, req)),
            Outgoing::Append(req) => calls.push(append(&shared, &link, req)),
            Outgoing::Chunk(chunk) => calls.push(send_chunk(&shared, &link, *chunk)),
            Outgoing::Wait(wait) => {
                if let Some(answer) = next_answer(&shared, &mut calls, seen, wait).await {
                    handle_answer(&shared, peer.id, task, answer);
                }
            }
        }
    }
}

/// Waits for an answer; returns `None` when something changed or the time is over.
async fn next_answer(
    shared: &Shared,
    calls: &mut FuturesUnordered<LocalBoxFuture<'static, Answer>>,
    seen: u64,
    wait: Duration,
) -> Option<Answer> {
    let changed = shared.signals.changed.after(seen);
    pin_mut!(changed);
    if calls.is_empty() {
        let _ = monoio::time::timeout(wait, changed).await;
        return None;
    }
    match monoio::time::timeout(wait, select(calls.next(), changed)).await {
        Ok(Either::Left((answer, _))) => answer,
        Ok(Either::Right(_)) | Err(_) => None,
    }
}

fn heartbeat(
    shared: &Shared,
    link: &PeerLink,
    req: AppendRequest,
) -> LocalBoxFuture<'static, Answer> {
    let last = req.prev_index;
    let call = bounded((link.append)(req), shared.cfg.call_timeout);
    call.map(move |reply| Answer::Heartbeat { last, reply }).boxed_local()
}

fn append(shared: &Shared, link: &PeerLink, req: AppendRequest) -> LocalBoxFuture<'static, Answer> {
    let last = req.entries.last().map_or(req.prev_index, |e| e.index);
    let limit = shared.cfg.append_timeout(&req);
    let call = bounded((link.append)(req), limit);
    call.map(move |reply| Answer::Append { last, reply }).boxed_local()
}

fn send_chunk(
    shared: &Shared,
    link: &PeerLink,
    chunk: SnapshotChunk,
) -> LocalBoxFuture<'static, Answer> {
    let (index, size, offset) = (chunk.meta.index, chunk.meta.size, chunk.offset);
    let call = bounded((link.snapshot)(chunk), shared.cfg.snapshot_timeout);
    call.map(move |reply| Answer::Chunk { index, size, offset, reply }).boxed_local()
}

/// Ends a call that has no answer in time: an open connection may be silent for ever.
async fn bounded<T>(
    call: impl Future<Output = Result<T, LinkError>>,
    limit: Millis,
) -> Result<T, LinkError> {
    match monoio::time::timeout(limit.duration(), call).await {
        Ok(reply) => reply,
        Err(_) => Err(LinkError::TimedOut(limit)),
    }
}
