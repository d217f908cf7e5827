//! The task of the membership.

use std::time::Instant;

use super::MembershipContext;
use super::bundle_task::run_bundle_task;
use super::context::TaskContext;
use super::gossip::{exchange_or_probe, exchange_with_some};
use super::join::{heal, join};
use super::limits::{
    BURST_INTERVAL, GOSSIP_INTERVAL, HEAL_INTERVAL, LEAVE_PEERS, REVISION_PUSH_PEERS,
};
use super::sync::synchronize;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::{FutureExt, select};
use masticstair_core::id::Revision;
use masticstair_core::unit::Draw;
use masticstair_policy::membership::{UpdateKey, UpdateQueue};
use monoio::time::sleep_until;

/// Takes part in the membership until `stop` completes, and then tells the peers that this host leaves.
pub async fn run_membership(cx: MembershipContext) {
    let MembershipContext { membership, peers, bundles, log, stop } = cx;
    let cx = TaskContext { membership, peers, bundles, log };
    refresh(&cx);
    let fetching = spawn_bound(run_bundle_task(cx.clone()));
    let joining = spawn_bound(join(cx.clone()));
    gossip_until(&cx, stop).await;
    drop((fetching, joining));
    leave(&cx).await;
}

/// Ends a task when it is dropped.
struct BoundTask(AbortHandle);

impl Drop for BoundTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn spawn_bound(task: impl Future<Output = ()> + 'static) -> BoundTask {
    let (handle, registration) = AbortHandle::new_pair();
    monoio::spawn(Abortable::new(task, registration));
    BoundTask(handle)
}

/// The state of the loop.
struct Rhythm {
    next_tick: Instant,
    next_heal: Instant,
    last_burst: Instant,
    /// The newest revision that peers were told of.
    pushed: Revision,
}

async fn gossip_until(cx: &TaskContext, stop: impl Future<Output = ()> + Unpin) {
    let now = Instant::now();
    // A random start spreads the exchanges of hosts that start together.
    let offset = GOSSIP_INTERVAL.mul_f64(rand::random::<f64>());
    let mut rhythm = Rhythm {
        next_tick: now + offset,
        next_heal: now + HEAL_INTERVAL,
        last_burst: now,
        pushed: Revision::default(),
    };
    let mut stop = stop.fuse();
    loop {
        let mut timer = Box::pin(sleep_until(rhythm.next_tick.into()).fuse());
        let mut woken = Box::pin(cx.membership.changed.notified().fuse());
        select! {
            () = stop => return,
            () = timer => tick(cx, &mut rhythm),
            () = woken => tell_changes(cx, &mut rhythm),
        }
        refresh(cx);
    }
}

fn tick(cx: &TaskContext, rhythm: &mut Rhythm) {
    let now = Instant::now();
    // After a pause the missed exchanges are not made up.
    rhythm.next_tick = (rhythm.next_tick + GOSSIP_INTERVAL).max(now);
    let failed = cx.membership.with_tables(|tables, now| tables.tick(now));
    for host in failed {
        slog::warn!(cx.log, "host failed"; "host" => %host);
    }
    if now >= rhythm.next_heal {
        rhythm.next_heal = now + HEAL_INTERVAL;
        monoio::spawn(heal(cx.clone()));
    }
    tell_changes(cx, rhythm);
    gossip_once(cx);
}

/// Exchanges with the next peer, or compares digests with it.
fn gossip_once(cx: &TaskContext) {
    let draw = || Draw::new(rand::random());
    let Some(peer) = cx.membership.with_tables(|tables, _| tables.next_peer(draw)) else { return };
    let cx = cx.clone();
    if cx.membership.with_tables(|tables, now| tables.begin_comparison(now)) {
        monoio::spawn(async move {
            let client = cx.peers.client(&peer);
            let _ = synchronize(&cx, &client, true).await;
        });
    } else {
        monoio::spawn(exchange_or_probe(cx, peer));
    }
}

/// Tells some peers at once of changes that this host made, or of a revision that it holds.
fn tell_changes(cx: &TaskContext, rhythm: &mut Rhythm) {
    let revision = cx.membership.with_tables(|tables, _| tables.revision);
    let pushes = revision > rhythm.pushed;
    let due = rhythm.last_burst.elapsed() >= BURST_INTERVAL;
    let urgent = cx
        .membership
        .with_tables(|tables, _| (due || pushes) && std::mem::take(&mut tables.urgent));
    if !pushes && !urgent {
        return;
    }
    rhythm.pushed = revision;
    rhythm.last_burst = Instant::now();
    let hosts = cx.membership.with_tables(|tables, _| tables.members.live_count());
    let count = if pushes { REVISION_PUSH_PEERS } else { UpdateQueue::burst(hosts) };
    monoio::spawn(exchange_with_some(cx.clone(), count));
}

/// Replaces the snapshot and forgets the clients of hosts that are gone.
fn refresh(cx: &TaskContext) {
    cx.membership.refresh(|record| cx.peers.client(record));
    cx.membership.with_tables(|tables, _| {
        cx.peers.retain(|host| tables.members.get(host).is_some());
    });
}

/// Tells some peers that this host leaves; they tell the others.
async fn leave(cx: &TaskContext) {
    cx.membership.with_tables(|tables, now| {
        tables.members.leave(now);
        let local = tables.members.local().clone();
        tables.originate(now, UpdateKey::Host(local));
    });
    exchange_with_some(cx.clone(), LEAVE_PEERS).await;
}
