use futures_channel::oneshot;
use futures_util::future::{FutureExt, LocalBoxFuture, pending};
use masticstair_core::id::ReplicaId;
use masticstair_core::message::Replica;
use masticstair_store::consensus::{Call, LinkError, Node, PeerLink, RequestError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::link_state::LinkState;

/// The links between all replicas; requests and replies fail independently in each direction.
pub struct Network {
    nodes: RefCell<BTreeMap<ReplicaId, Node>>,
    link_states: RefCell<BTreeMap<(ReplicaId, ReplicaId), LinkState>>,
    rng: RefCell<SmallRng>,
}

impl Network {
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            nodes: RefCell::default(),
            link_states: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub fn attach(&self, id: ReplicaId, node: Node) {
        self.nodes.borrow_mut().insert(id, node);
    }

    pub fn detach(&self, id: ReplicaId) -> Option<Node> {
        self.nodes.borrow_mut().remove(&id)
    }

    pub fn set(&self, from: ReplicaId, to: ReplicaId, link_state: LinkState) {
        self.link_states.borrow_mut().insert((from, to), link_state);
    }

    pub fn heal(&self) {
        self.link_states.borrow_mut().clear();
    }

    /// Returns the links of a replica.
    pub fn connect(self: &Rc<Self>, from: ReplicaId) -> Box<dyn Fn(&Replica) -> PeerLink> {
        let network = self.clone();
        Box::new(move |to| {
            let to = to.id;
            let (f, g, h) = (network.clone(), network.clone(), network.clone());
            PeerLink {
                vote: Box::new(move |req| {
                    f.call(from, to, move |n| async move { n.vote(req).await }.boxed_local())
                }),
                append: Box::new(move |req| {
                    g.call(from, to, move |n| async move { n.append(req).await }.boxed_local())
                }),
                snapshot: Box::new(move |req| {
                    h.call(from, to, move |n| async move { n.snapshot(req).await }.boxed_local())
                }),
            }
        })
    }

    /// Delivers a request and its reply. The receiver handles the request in a separate task, as a
    /// server does, even if the caller no longer waits.
    fn call<T: 'static>(
        self: &Rc<Self>,
        from: ReplicaId,
        to: ReplicaId,
        handle: impl FnOnce(Node) -> LocalBoxFuture<'static, Result<T, RequestError>> + 'static,
    ) -> Call<T> {
        let network = self.clone();
        async move {
            network.deliver(from, to).await?;
            let node = network.nodes.borrow().get(&to).cloned();
            let Some(node) = node else { return Err(LinkError::Failed("host is down".into())) };
            let (tx, rx) = oneshot::channel();
            monoio::spawn(async move {
                let _ = tx.send(handle(node).await);
            });
            let reply = rx.await.map_err(|_| LinkError::Failed("closed".into()))?;
            network.deliver(to, from).await?;
            reply.map_err(|e| LinkError::Failed(e.to_string().into()))
        }
        .boxed_local()
    }

    async fn deliver(&self, from: ReplicaId, to: ReplicaId) -> Result<(), LinkError> {
        let link_state = self.link_states.borrow().get(&(from, to)).copied();
        match link_state.unwrap_or(LinkState::Open(Duration::ZERO)) {
            LinkState::Open(Duration::ZERO) => Ok(()),
            LinkState::Open(delay) => {
                monoio::time::sleep(delay).await;
                Ok(())
            }
            LinkState::Lossy(share) if self.rng.borrow_mut().random::<f64>() < share => {
                pending().await
            }
            LinkState::Lossy(_) => Ok(()),
            LinkState::Silent => pending().await,
            LinkState::Refused => Err(LinkError::Failed("connection refused".into())),
        }
    }
}
