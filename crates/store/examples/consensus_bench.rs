//! Benchmark of the replicated log in memory: failover time after the leader is killed, commit latency and
//! proposals per second, with 3 and 5 voters on one thread. Links and syncs take no time, so the results show
//! the cost of the protocol itself.
//!
//! `cargo run --release -p masticstair-store --example consensus_bench`
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "uses the helpers of the tests")]

#[path = "../tests/consensus_common/mod.rs"]
mod consensus_common;

use consensus_common::cluster::Cluster;
use consensus_common::eventually;
use masticstair_core::unit::Slots;
use masticstair_store::consensus::Config;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of leader kills for each group size.
const LEADER_KILLS: u64 = 20;
/// Number of proposals made one after the other.
const SEQUENTIAL_PROPOSALS: u64 = 5_000;
/// Number of concurrent proposers.
const PROPOSERS: u64 = 64;
/// Total number of proposals by concurrent proposers.
const CONCURRENT_PROPOSALS: u64 = 100_000;

fn main() -> std::io::Result<()> {
    for voters in [3, 5] {
        masticstair_net::runtime::block_on(failover(voters))?;
        masticstair_net::runtime::block_on(latency(voters))?;
        masticstair_net::runtime::block_on(throughput(voters))?;
    }
    Ok(())
}

fn config(voters: usize) -> Config {
    Config { target_voters: Slots::new(voters as u32), ..Config::default() }
}

/// Prints the time from the kill of a leader to a new leader that has committed its first entry.
async fn failover(voters: usize) {
    let c = Cluster::start(config(voters), voters, 0, 7).await;
    let mut times = Vec::new();
    for _ in 0..LEADER_KILLS {
        let leader = c.stable_leader().await;
        c.wait_converged().await;
        monoio::time::sleep(Duration::from_millis(200)).await;
        let began = Instant::now();
        c.kill(leader);
        eventually("a new leader", || c.leader().is_some()).await;
        c.stable_leader().await;
        times.push(began.elapsed());
        c.start_node(leader);
    }
    print("new leader after a kill", voters, times);
}

/// Prints the latency of proposals made one after the other.
async fn latency(voters: usize) {
    let c = Cluster::start(config(voters), voters, 0, 7).await;
    let leader = c.stable_leader().await;
    let mut times = Vec::new();
    for command in 0..SEQUENTIAL_PROPOSALS {
        let began = Instant::now();
        c.propose(leader, command << 8).await.unwrap();
        times.push(began.elapsed());
    }
    print("commit latency", voters, times);
}

/// Prints the rate of proposals by concurrent proposers.
async fn throughput(voters: usize) {
    let c = Cluster::start(config(voters), voters, 0, 7).await;
    let leader = c.stable_leader().await;
    let next = Rc::new(Cell::new(0));
    let began = Instant::now();
    let proposers: Vec<_> = (0..PROPOSERS)
        .map(|_| {
            let (c, next) = (c.clone(), next.clone());
            monoio::spawn(async move {
                while next.get() < CONCURRENT_PROPOSALS {
                    next.set(next.get() + 1);
                    c.propose(leader, next.get() << 8).await.unwrap();
                }
            })
        })
        .collect();
    for proposer in proposers {
        proposer.await;
    }
    let rate = CONCURRENT_PROPOSALS as f64 / began.elapsed().as_secs_f64();
    println!("{voters} voters, {PROPOSERS} proposers: {rate:.0} proposals/s");
}

fn print(what: &str, voters: usize, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    let (half, high, max) = (at(0.5), at(0.99), at(1.0));
    let n = times.len();
    println!("{voters} voters, {what}: p50 {half:.3} ms, p99 {high:.3} ms, max {max:.3} ms of {n}");
}
