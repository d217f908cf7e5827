//! The main loop of the membership.

use std::time::Instant;

use super::MembershipContext;
use super::abort_on_drop::AbortOnDrop;
use super::bundle_task::run_bundle_task;
use super::gossip::{exchange_or_probe, exchange_with_random_peers};
use super::gossip_schedule::GossipSchedule;
use super::join::{heal, join};
use super::limits::{
    GOSSIP_INTERVAL, HEAL_INTERVAL, LEAVE_PEERS, MIN_PUSH_INTERVAL, REVISION_PUSH_PEERS,
};
use super::sync::synchronize;
use super::task_context::TaskContext;
use futures_util::{FutureExt, select};
use masticstair_core::id::Revision;
use masticstair_core::unit::Draw;
use masticstair_policy::membership::{UpdateKey, UpdateQueue};
use monoio::time::sleep_until;

/// Runs the membership until `stop` completes, and then announces to peers that this host leaves.
pub async fn run_membership(cx: MembershipContext) {
    let MembershipContext { membership, peers, bundles, log, stop } = cx;
    let cx = TaskContext { membership, peers, bundles, log };
    refresh(&cx);
    let fetching = AbortOnDrop::spawn(run_bundle_task(cx.clone()));
    let joining = AbortOnDrop::spawn(join(cx.clone()));
    gossip_until(&cx, stop).await;
    drop((fetching, joining));
    leave(&cx).await;
}

async fn gossip_until(cx: &TaskContext, stop: impl Future<Output = ()> + Unpin) {
    let now = Instant::now();
    // The random offset spreads the exchanges of hosts that start at the same time.
    let offset = GOSSIP_INTERVAL.mul_f64(rand::random::<f64>());
    let mut schedule = GossipSchedule {
        next_round: now + offset,
        next_heal: now + HEAL_INTERVAL,
        last_push: now,
        pushed_revision: Revision::default(),
    };
    let mut stop = stop.fuse();
    loop {
        let mut timer = Box::pin(sleep_until(schedule.next_round.into()).fuse());
        let mut woken = Box::pin(cx.membership.changed.notified().fuse());
        select! {
            () = stop => return,
            () = timer => run_gossip_round(cx, &mut schedule),
            () = woken => push_changes(cx, &mut schedule),
        }
        refresh(cx);
    }
}

fn run_gossip_round(cx: &TaskContext, schedule: &mut GossipSchedule) {
    let now = Instant::now();
    // Rounds that were missed, for example while the process was suspended, are skipped.
    schedule.next_round = (schedule.next_round + GOSSIP_INTERVAL).max(now);
    let failed = cx.membership.with_tables(|tables, now| tables.expire(now));
    for host in failed {
        slog::warn!(cx.log, "host did not refute its suspicion in time and is marked as failed";
            "host" => %host);
    }
    if now >= schedule.next_heal {
        schedule.next_heal = now + HEAL_INTERVAL;
        monoio::spawn(heal(cx.clone()));
    }
    push_changes(cx, schedule);
    gossip_once(cx);
}

/// Exchanges updates with the next peer, or compares digests with it if that is due.
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

/// Pushes local changes or a new revision to some peers, without waiting for the regular exchanges.
fn push_changes(cx: &TaskContext, schedule: &mut GossipSchedule) {
    let revision = cx.membership.with_tables(|tables, _| tables.revision);
    let has_new_revision = revision > schedule.pushed_revision;
    let due = schedule.last_push.elapsed() >= MIN_PUSH_INTERVAL;
    let push_pending = cx.membership.with_tables(|tables, _| {
        (due || has_new_revision) && std::mem::take(&mut tables.push_pending)
    });
    if !has_new_revision && !push_pending {
        return;
    }
    schedule.pushed_revision = revision;
    schedule.last_push = Instant::now();
    let hosts = cx.membership.with_tables(|tables, _| tables.members.live_count());
    let count = if has_new_revision { REVISION_PUSH_PEERS } else { UpdateQueue::burst(hosts) };
    monoio::spawn(exchange_with_random_peers(cx.clone(), count));
}

/// Replaces the snapshot and removes the clients of hosts that are no longer in the table.
fn refresh(cx: &TaskContext) {
    cx.membership.refresh(|record| cx.peers.client(record));
    cx.membership.with_tables(|tables, _| {
        cx.peers.retain(|host| tables.members.get(host).is_some());
    });
}

/// Announces to some peers that this host leaves; gossip propagates it to the others.
async fn leave(cx: &TaskContext) {
    cx.membership.with_tables(|tables, now| {
        tables.members.leave(now);
        let local = tables.members.local().clone();
        tables.record_local_change(now, UpdateKey::Host(local));
    });
    exchange_with_random_peers(cx.clone(), LEAVE_PEERS).await;
}
