//! Handles the membership calls of peers.

use std::future::ready;
use std::rc::Rc;
use std::sync::Arc;

use super::bundle_task::serve_chunk;
use super::exchange::answer_request;
use super::gossip::{exchange, wake_tasks};
use super::task_context::TaskContext;
use super::{BundleHooks, Membership, PeerPool};
use masticstair_net::peer::{PeerHandlers, ProbeRequest};
use slog::Logger;

/// Sets the handlers for gossip, probes and bundles. Call this before the peer server starts.
pub fn install_handlers(
    handlers: &mut PeerHandlers,
    membership: &Arc<Membership>,
    peers: &Rc<PeerPool>,
    bundles: &Rc<BundleHooks>,
    log: &Logger,
) {
    let cx = TaskContext {
        membership: membership.clone(),
        peers: peers.clone(),
        bundles: bundles.clone(),
        log: log.clone(),
    };
    let gossip_cx = cx.clone();
    handlers.gossip = Box::new(move |caller, request| {
        let membership = &gossip_cx.membership;
        let reply =
            membership.with_tables(|tables, now| answer_request(tables, now, caller, request));
        wake_tasks(&gossip_cx);
        Box::pin(ready(Ok(reply)))
    });
    let probe_cx = cx.clone();
    handlers.probe = Box::new(move |_, request| {
        let cx = probe_cx.clone();
        Box::pin(async move { Ok(probe(&cx, request).await) })
    });
    handlers.bundle = Box::new(move |_, request| {
        let chunk = serve_chunk(&cx.bundles, request);
        Box::pin(ready(chunk))
    });
}

/// Probes a host on behalf of a peer; returns whether the host answered.
async fn probe(cx: &TaskContext, request: ProbeRequest) -> bool {
    let Some(record) = cx.membership.host(&request.host) else { return false };
    let client = cx.peers.client(&record);
    exchange(cx, &request.host, &client).await.is_ok()
}
