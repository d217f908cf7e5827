use futures_channel::oneshot;
use futures_util::future::{FutureExt, LocalBoxFuture, pending};
use masticstair_core::id::ReplicaId;
use masticstair_core::message::Replica;
use masticstair_store::consensus::{AnswerError, Call, LinkError, Node, PeerLink};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::path::Path;

/// The links between all replicas; requests and replies fail on their own direction.
pub struct Fabric {
    nodes: RefCell<BTreeMap<ReplicaId, Node>>,
    paths: RefCell<BTreeMap<(ReplicaId, ReplicaId), Path>>,
    rng: RefCell<SmallRng>,
}

impl Fabric {
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            nodes: RefCell::default(),
            paths: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub fn plug(&self, id: ReplicaId, node: Node) {
        self.nodes.borrow_mut().insert(id, node);
    }

    pub fn unplug(&self, id: ReplicaId) -> Option<Node> {
        self.nodes.borrow_mut().remove(&id)
    }

    pub fn set(&self, from: ReplicaId, to: ReplicaId, path: Path) {
        self.paths.borrow_mut().insert((from, to), path);
    }

    pub fn heal(&self) {
        self.paths.borrow_mut().clear();
    }

    /// Returns the links of a replica.
    pub fn connect(self: &Rc<Self>, from: ReplicaId) -> Box<dyn Fn(&Replica) -> PeerLink> {
        let fabric = self.clone();
        Box::new(move |to| {
            let to = to.id;
            let (f, g, h) = (fabric.clone(), fabric.clone(), fabric.clone());
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

    /// Carries a request and its reply. The receiver handles the request in a task of its own, as a
    /// server does, even when the caller no longer waits.
    fn call<T: 'static>(
        self: &Rc<Self>,
        from: ReplicaId,
        to: ReplicaId,
        handle: impl FnOnce(Node) -> LocalBoxFuture<'static, Result<T, AnswerError>> + 'static,
    ) -> Call<T> {
        let fabric = self.clone();
        async move {
            fabric.pass(from, to).await?;
            let node = fabric.nodes.borrow().get(&to).cloned();
            let Some(node) = node else { return Err(LinkError::Failed("host is down".into())) };
            let (tx, rx) = oneshot::channel();
            monoio::spawn(async move {
                let _ = tx.send(handle(node).await);
            });
            let reply = rx.await.map_err(|_| LinkError::Failed("closed".into()))?;
            fabric.pass(to, from).await?;
            reply.map_err(|e| LinkError::Failed(e.to_string().into()))
        }
        .boxed_local()
    }

    async fn pass(&self, from: ReplicaId, to: ReplicaId) -> Result<(), LinkError> {
        let path = self.paths.borrow().get(&(from, to)).copied();
        match path.unwrap_or(Path::Open(Duration::ZERO)) {
            Path::Open(Duration::ZERO) => Ok(()),
            Path::Open(delay) => {
                monoio::time::sleep(delay).await;
                Ok(())
            }
            Path::Lossy(share) if self.rng.borrow_mut().random::<f64>() < share => pending().await,
            Path::Lossy(_) => Ok(()),
            Path::Silent => pending().await,
            Path::Refused => Err(LinkError::Failed("connection refused".into())),
        }
    }
}
