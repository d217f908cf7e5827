//! Randomized runs with killed hosts, partitions, restarts, disk faults and lost disks, checked for
//! linearizability from the clients' view.
//!
//! `MASTICSTAIR_HISTORIES` sets the number of runs and `MASTICSTAIR_FIRST_SEED` the first seed. The
//! fault plan is determined by the seed; the interleaving of tasks and real timers is not.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "helpers of tests")]

mod consensus_common;

use consensus_common::cluster::Cluster;
use consensus_common::fast_config;
use consensus_common::fault_plan::FaultPlan;
use consensus_common::history::History;
use consensus_common::link_state::LinkState;
use consensus_common::write::Write;
use masticstair_core::unit::{ByteCount, Slots};
use masticstair_store::consensus::{Config, ProposeError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The number of concurrent runs; they mostly wait for timers.
const THREADS: u64 = 20;

/// The timeout of a client's command or read.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against lost, duplicated or contradicting commands and against stale reads under combined
/// failures.
#[test]
fn histories_are_linearizable() {
    let count = number("MASTICSTAIR_HISTORIES", 200);
    let first = number("MASTICSTAIR_FIRST_SEED", 1);
    let next = AtomicU64::new(first);
    let failed = Mutex::new(Vec::new());
    let totals = Mutex::new([0usize; 5]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(count) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    match catch_unwind(AssertUnwindSafe(|| run(seed))) {
                        Ok(counts) => {
                            let mut totals = totals.lock().unwrap();
                            totals.iter_mut().zip(counts).for_each(|(t, c)| *t += c);
                        }
                        Err(_) => {
                            println!("seed {seed} failed with {:?}", FaultPlan::new(seed));
                            failed.lock().unwrap().push(seed);
                        }
                    }
                }
            });
        }
    });
    let [acked, refused, unknown, reads, lost] = totals.into_inner().unwrap();
    println!(
        "{count} histories: {acked} acknowledged, {refused} refused, {unknown} unknown, {reads} reads, {lost} lost disks"
    );
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
    assert!(acked as u64 >= count * 10, "too few acknowledged commands to tell anything: {acked}");
    assert!(lost as u64 >= count / 10, "too few lost disks to tell anything: {lost}");
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().unwrap())
}

/// Runs one history; returns the numbers of acknowledged, refused and unknown commands, of reads and of
/// lost disks.
fn run(seed: u64) -> [usize; 5] {
    masticstair_net::runtime::block_on(async move {
        let fault_plan = FaultPlan::new(seed);
        let cfg = Config {
            compact_above: ByteCount::new(2 << 10),
            keep_tail: ByteCount::new(512),
            target_voters: Slots::new(fault_plan.voters as u32),
            ..fast_config()
        };
        let c = Cluster::start(cfg, fault_plan.voters, fault_plan.spares, seed).await;
        (0..c.hosts()).for_each(|host| c.disk(host).sync_delay.set(fault_plan.sync_delay));
        let all: Vec<_> = (0..c.hosts()).collect();
        c.split(&all, &all, LinkState::Open(fault_plan.link_delay));
        c.keep_announcing();
        let history = Rc::new(History::default());
        let stopping = Rc::new(Cell::new(false));
        let clients: Vec<_> = (0..3)
            .map(|n| monoio::spawn(client(c.clone(), history.clone(), stopping.clone(), n, seed)))
            .collect();
        for (pause, fault) in &fault_plan.faults {
            monoio::time::sleep(*pause).await;
            fault.inject(&c, fault_plan.voters);
        }
        stopping.set(true);
        for client in clients {
            client.await;
        }
        recover(&c).await;
        history.check(&c.applied_log);
        let counts = [history.acked.borrow().len(), history.refused.borrow().len()];
        let (unknown, reads) = (*history.unknown.borrow(), history.reads.borrow().len());
        let lost = c.members.borrow().iter().map(|m| usize::from(m.incarnation)).sum();
        [counts[0], counts[1], unknown, reads, lost]
    })
    .unwrap()
}

/// Ends all faults. The group must then commit again and every replica must catch up.
async fn recover(c: &Rc<Cluster>) {
    c.network.heal();
    for host in 0..c.hosts() {
        c.disk(host).fail_syncs.set(false);
        c.disk(host).sync_delay.set(Duration::ZERO);
        if c.node(host).is_some_and(|n| n.status().fault.is_some()) {
            c.kill(host);
        }
        c.start_node(host);
    }
    // The low byte is a key that no client uses.
    c.propose_until_acked(0xff).await;
    c.wait_converged().await;
}

/// Proposes unique commands and reads until the faults end.
async fn client(c: Rc<Cluster>, history: Rc<History>, stopping: Rc<Cell<bool>>, n: u64, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed * 10 + n);
    for sequence in 1.. {
        if stopping.get() {
            return;
        }
        let any = rng.random_range(0..c.hosts());
        let host = if rng.random_bool(0.8) { c.leader().unwrap_or(any) } else { any };
        let command = (n + 1) << 56 | sequence << 8 | rng.random_range(0..8);
        match rng.random_bool(0.3) {
            true => read(&c, &history, host).await,
            false => write(&c, &history, host, command).await,
        }
        monoio::time::sleep(Duration::from_millis(rng.random_range(0..10))).await;
    }
}

async fn write(c: &Rc<Cluster>, history: &Rc<History>, host: usize, command: u64) {
    let Some(node) = c.node(host) else { return };
    let acked_before = history.acked.borrow().len();
    match node.propose(command.to_le_bytes().into(), CLIENT_TIMEOUT).await {
        Ok(reply) => {
            let reply = consensus_common::machine::decode(&reply);
            history.acked.borrow_mut().push(Write { command, reply, acked_before });
        }
        Err(ProposeError::NotProposed(_)) => history.refused.borrow_mut().push(command),
        Err(ProposeError::Unknown { .. }) => *history.unknown.borrow_mut() += 1,
    }
}

async fn read(c: &Rc<Cluster>, history: &Rc<History>, host: usize) {
    let Some(node) = c.node(host) else { return };
    let acked_before = history.acked.borrow().len();
    let longest = history.reads.borrow().iter().map(|(a, _, _)| a.len()).max().unwrap_or(0);
    if let Ok(answer) = node.read(&[], CLIENT_TIMEOUT).await {
        let commands = answer.chunks(8).map(consensus_common::machine::decode).collect();
        history.reads.borrow_mut().push((commands, acked_before, longest));
    }
}
