//! Links from the local replica to the other replicas.

use futures_util::FutureExt;
use masticstair_core::message::Replica;
use masticstair_net::peer::{GroupId, PeerClient, PeerError};
use masticstair_store::consensus::{Call, Config, LinkError, PeerLink};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

use crate::membership::{Membership, PeerPool};

/// Returns a factory for links that look up the address of the replica's host on each call, because a host
/// that is replaced comes back under another address.
pub(super) fn connect(
    membership: Arc<Membership>,
    peers: Rc<PeerPool>,
    cfg: &Config,
) -> Box<dyn Fn(&Replica) -> PeerLink> {
    let call_timeout = cfg.call_timeout.duration();
    let snapshot_timeout = cfg.snapshot_timeout.duration();
    let cfg = Rc::new(cfg.clone());
    Box::new(move |replica| {
        let lookup = {
            let (membership, peers) = (membership.clone(), peers.clone());
            let host = replica.host.clone();
            Rc::new(move || membership.host(&host).map(|record| peers.client(&record)))
        };
        let [lookup_for_vote, lookup_for_append, lookup_for_snapshot] =
            [lookup.clone(), lookup.clone(), lookup];
        let group = GroupId::FIRST;
        let cfg = cfg.clone();
        PeerLink {
            vote: Box::new(move |req| {
                call(lookup_for_vote(), async move |peer| peer.vote(group, req, call_timeout).await)
            }),
            append: Box::new(move |req| {
                let limit = cfg.append_timeout(&req).duration();
                call(lookup_for_append(), async move |peer| peer.append(group, req, limit).await)
            }),
            snapshot: Box::new(move |chunk| {
                call(lookup_for_snapshot(), async move |peer| {
                    peer.snapshot(group, chunk, snapshot_timeout).await
                })
            }),
        }
    })
}

fn call<T: 'static, F>(
    peer: Option<PeerClient>,
    send: impl FnOnce(PeerClient) -> F + 'static,
) -> Call<T>
where
    F: Future<Output = Result<T, PeerError>> + 'static,
{
    async move {
        let peer = peer
            .ok_or_else(|| LinkError::Failed("the membership has no address of the host".into()))?;
        send(peer).await.map_err(|e| LinkError::Failed(e.to_string().into()))
    }
    .boxed_local()
}
