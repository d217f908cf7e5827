use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::gossip::exchange;
use super::task_context::TaskContext;
use super::{BundleHooks, Membership, PeerPool};
use futures_util::StreamExt;
use futures_util::stream::iter;
use slog::Logger;

/// The shortest time between two surveys; more frequent status requests share the results of one.
const MIN_SURVEY_INTERVAL: Duration = Duration::from_millis(250);

/// The largest number of hosts that are queried at the same time.
const CONCURRENT_EXCHANGES: usize = 64;

/// Queries every live host for the revision that it holds. With regular gossip alone, a host of a large
/// deployment would receive a message from a given peer only about twice a minute.
pub struct RevisionSurvey {
    cx: TaskContext,
    last_run: Cell<Option<Instant>>,
}

impl RevisionSurvey {
    /// Creates a survey that has not run yet.
    pub fn new(
        membership: Arc<Membership>,
        peers: Rc<PeerPool>,
        bundles: Rc<BundleHooks>,
        log: Logger,
    ) -> Self {
        let cx = TaskContext { membership, peers, bundles, log };
        Self { cx, last_run: Cell::new(None) }
    }

    /// Queries the hosts, unless the latest survey is recent. `Membership::host_reports` has the
    /// results; a host that does not answer within `PROBE_TIMEOUT` keeps its earlier report.
    pub async fn run(&self) {
        if self.last_run.get().is_some_and(|last_run| last_run.elapsed() < MIN_SURVEY_INTERVAL) {
            return;
        }
        self.last_run.set(Some(Instant::now()));
        let peers: Vec<_> = self.cx.membership.with_tables(|tables, _| {
            let members = &tables.members;
            tables.reported_revisions.retain(|host| members.get(host).is_some());
            members.live_peers().map(|m| m.record.clone()).collect()
        });
        iter(peers)
            .for_each_concurrent(CONCURRENT_EXCHANGES, |peer| async move {
                let client = self.cx.peers.client(&peer);
                // The regular exchanges detect a host that does not answer.
                let _ = exchange(&self.cx, &peer.host, &client).await;
            })
            .await;
    }
}
