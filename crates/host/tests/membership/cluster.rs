//! Test hosts that run in one thread and reach each other through proxied loopback connections (`Link`).

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::link::Link;
use crate::loopback::unique_address;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{AbortHandle, Abortable};
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{HostId, Incarnation, Revision};
use masticstair_core::unit::{Slots, Timestamp};
use masticstair_host::membership::*;
use masticstair_net::peer::{PeerHandlers, PeerIdentity, PeerServer, ProtocolVersion};
use masticstair_policy::endpoint_table::Announcement;
use monoio::time::sleep;
use slog::{Discard, Logger, o};
use smallvec::smallvec;

type Bundles = Rc<RefCell<HashMap<Revision, Arc<[u8]>>>>;

/// A host whose peers reach it through `link`, which can inject faults.
pub struct TestHost {
    pub id: HostId,
    pub membership: Arc<Membership>,
    pub link: Link,
    pub bundles: Bundles,
    task: AbortHandle,
    leave: Option<oneshot::Sender<()>>,
    stop_server: Option<oneshot::Sender<()>>,
    server: SocketAddr,
}

impl TestHost {
    /// Starts a host behind a new link.
    pub fn start(name: &str, incarnation: u64, seeds: &[SocketAddr]) -> Self {
        let reserved = std::net::TcpListener::bind((unique_address(), 0)).unwrap();
        let server = reserved.local_addr().unwrap();
        drop(reserved);
        Self::start_behind(name, incarnation, seeds, server, Link::spawn(server))
    }

    /// Starts a host behind an existing link.
    pub fn start_behind(
        name: &str,
        incarnation: u64,
        seeds: &[SocketAddr],
        server: SocketAddr,
        link: Link,
    ) -> Self {
        let identity = PeerIdentity {
            deployment: "test".parse().unwrap(),
            host: name.parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            protocol: ProtocolVersion::CURRENT,
        };
        let start = Instant::now();
        let membership = Membership::new(MembershipConfig {
            identity: identity.clone(),
            address: link.address,
            data_centre: "dc-1".parse().unwrap(),
            durable: false,
            seeds: seeds.into(),
            clock: Box::new(move || Timestamp::new(1_000_000).plus(start.elapsed())),
        });
        let bundles = Bundles::default();
        let hooks = Rc::new(hooks(&bundles));
        let peers = Rc::new(PeerPool::new(identity.clone()));
        let log = Logger::root(Discard, o!());
        let mut handlers = PeerHandlers::refusing();
        install_handlers(&mut handlers, &membership, &peers, &hooks, &log);
        let listener = PeerServer::bind(server, identity.clone(), handlers).unwrap();
        let (stop_server, stopped) = oneshot::channel::<()>();
        monoio::spawn(listener.run(stopped.map(drop)));
        let (leave, left) = oneshot::channel::<()>();
        let cx = MembershipContext {
            membership: membership.clone(),
            peers,
            bundles: hooks,
            log,
            stop: left.map(drop).boxed_local(),
        };
        let (task, registration) = AbortHandle::new_pair();
        monoio::spawn(Abortable::new(run_membership(cx), registration));
        Self {
            id: identity.host,
            membership,
            link,
            bundles,
            task,
            leave: Some(leave),
            stop_server: Some(stop_server),
            server,
        }
    }

    /// Stops the host like a killed process: its connections close and it does not announce that it
    /// leaves.
    pub fn kill(&mut self) {
        self.task.abort();
        self.stop_server.take();
    }

    /// Starts a killed host again at its address.
    pub fn restart(&self, incarnation: u64, seeds: &[SocketAddr]) -> Self {
        Self::start_behind(self.id.as_str(), incarnation, seeds, self.server, self.link.clone())
    }

    /// Starts another process with the id of this host at another address.
    pub fn restart_elsewhere(&self, incarnation: u64, seeds: &[SocketAddr]) -> Self {
        Self::start(self.id.as_str(), incarnation, seeds)
    }

    /// Announces that the host leaves, and stops its membership.
    pub fn leave(&mut self) {
        self.leave.take();
    }

    /// Stores a bundle in the host and publishes its revision, as for one from the replicated log.
    pub fn publish_bundle(&self, revision: u64, content: &[u8]) {
        self.bundles.borrow_mut().insert(Revision::new(revision), content.into());
        self.membership.publish_revision(Revision::new(revision));
    }

    /// Returns whether another host is live in the snapshot of this one.
    pub fn sees(&self, host: &HostId) -> bool {
        self.membership.snapshot().hosts.iter().any(|h| h.record.host == *host)
    }

    /// Returns whether this host may route work to an endpoint.
    pub fn routes_to(&self, endpoint: &str) -> bool {
        self.membership.snapshot().endpoints.iter().any(|e| e.record.id.as_str() == endpoint)
    }

    /// Returns the number of live hosts in the snapshot of this host, itself included.
    pub fn live(&self) -> usize {
        self.membership.snapshot().hosts.len()
    }
}

impl Drop for TestHost {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn hooks(bundles: &Bundles) -> BundleHooks {
    let (content, install) = (bundles.clone(), bundles.clone());
    BundleHooks {
        content: Box::new(move |revision| content.borrow().get(&revision).cloned()),
        install: Box::new(move |revision, bytes| {
            install.borrow_mut().insert(revision, bytes.into());
            Box::pin(async { Ok(()) })
        }),
    }
}

/// Starts hosts that join the first one, and waits until each host sees all others as live.
pub async fn cluster(count: usize) -> Vec<TestHost> {
    let mut hosts: Vec<TestHost> = Vec::new();
    for i in 0..count {
        let seeds: Vec<_> = hosts.first().map(|h| h.link.address).into_iter().collect();
        hosts.push(TestHost::start(&format!("host-{i}"), 1, &seeds));
    }
    within(Duration::from_secs(10), "all hosts see all", || {
        hosts.iter().all(|h| h.live() == count)
    })
    .await;
    hosts
}

/// Returns an announcement of a ready endpoint.
pub fn announcement(id: &str, incarnation: u64) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        leaving: false,
        address: "127.0.0.1:9000".parse().unwrap(),
        pool: "engines".parse().unwrap(),
        kind: StageKind::Generate,
        data_centre: "dc-1".parse().unwrap(),
        capacity: Slots::new(8),
        models: smallvec![],
    }
}

/// Waits until `done` and returns the elapsed time; panics after `limit`.
pub async fn within(limit: Duration, what: &str, mut done: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}
