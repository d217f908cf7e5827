//! Clusters of host processes: agreement on revisions, run-once calls and shutdown under failures.

mod support;

use std::time::{Duration, Instant};
use support::BUNDLE;
use support::cluster::{Cluster, VOTERS};
use support::http::{get, post};

/// Hosts of the cluster: three voters and two without a disk.
const HOSTS: usize = 5;

/// Guards against a rolled bundle that doesn't reach every host, or that is lost by a restart.
#[test]
fn a_rolled_bundle_is_in_force_everywhere_and_survives_restarts() {
    let mut cluster = Cluster::start(HOSTS);
    for revision in 2..5 {
        let version = format!("version = \"{revision}\"");
        let content = BUNDLE.replace("version = \"1\"\n[limits]", &format!("{version}\n[limits]"));
        cluster.roll(&content, revision - 1);
        let accepted = Instant::now();
        (0..HOSTS).for_each(|i| cluster.wait_ready(i, revision, Duration::from_secs(1)));
        println!("revision {revision} in force everywhere after {:?}", accepted.elapsed());
    }
    for i in [0, HOSTS - 1] {
        cluster.kill(i);
        cluster.start_host(i);
        let started = Instant::now();
        cluster.wait_ready(i, 4, Duration::from_secs(4));
        println!("host {i} ready after {:?}", started.elapsed());
    }
}

/// Guards against a run-once call that executes again when it is retried on another host, and against losing
/// the recorded answer.
#[test]
fn a_retry_on_any_host_returns_the_recorded_answer() {
    let cluster = Cluster::start(HOSTS);
    let first = cluster.order(3, "key-1", "nosing-1").unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    for i in 0..HOSTS {
        let repeat = cluster.order(i, "key-1", "nosing-1").unwrap();
        assert_eq!(repeat.status, 200, "host {i}: {repeat:?}");
        assert!(repeat.head.contains("idempotent-replayed: true"), "host {i}: {repeat:?}");
        let output =
            |body: &str| serde_json::from_str::<serde_json::Value>(body).unwrap()["output"].clone();
        assert_eq!(output(&repeat.body), output(&first.body), "host {i}");
    }
    let other = cluster.order(1, "key-1", "nosing-2").unwrap();
    assert_eq!(other.status, 422, "{other:?}");
    assert!(other.body.contains("not_run"), "{other:?}");
    assert_eq!(cluster.executions("nosing-1"), 1);
    assert_eq!(cluster.executions("nosing-2"), 0);
}

/// Guards against a second execution, a lost answer or a false `not_run` while a voter is killed.
#[test]
fn no_key_executes_twice_while_voters_are_killed_in_turn() {
    let mut cluster = Cluster::start(HOSTS);
    let mut refused = 0;
    for victim in 0..VOTERS {
        cluster.kill(victim);
        let killed = Instant::now();
        let mut recovered = None;
        for n in 0..30 {
            let (key, topic) = (format!("k{victim}-{n}"), format!("order-{victim}-{n}"));
            let host = (victim + 1 + n % (HOSTS - 1)) % HOSTS;
            let Some(answer) = cluster.order(host, &key, &topic) else { continue };
            if answer.status == 200 {
                recovered.get_or_insert(killed.elapsed());
                assert_eq!(cluster.executions(&topic), 1, "{answer:?}");
            } else if answer.body.contains("\"outcome\":\"not_run\"") {
                refused += 1;
                assert_eq!(cluster.executions(&topic), 0, "{answer:?}");
            }
            assert!(cluster.executions(&topic) <= 1);
        }
        let recovered = recovered.unwrap();
        println!("first order after the kill of host {victim}: {recovered:?}, refused {refused}");
        assert!(recovered < Duration::from_secs(2), "no leader after {recovered:?}");
        cluster.start_host(victim);
        cluster.wait_ready(victim, 1, Duration::from_secs(4));
    }
}

/// Guards against a shutdown that cuts a stream in progress, and against a host that stays ready after
/// SIGTERM.
#[test]
fn a_graceful_shutdown_completes_the_stream_in_progress() {
    let mut cluster = Cluster::start(HOSTS);
    let addr = cluster.hosts[4].addr;
    let stream = std::thread::spawn(move || {
        post(addr, "draft", &[("accept", "text/event-stream")], "{\"tokens\":120}")
    });
    std::thread::sleep(Duration::from_millis(300));
    cluster.signal(4, "TERM");
    let mut child = cluster.hosts[4].child.take().unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let ready = get(addr, "/readyz").unwrap();
    assert_eq!(ready.status, 503, "{ready:?}");
    let answer = stream.join().unwrap().unwrap();
    assert_eq!(answer.body.matches("event: token").count(), 120, "{answer:?}");
    assert!(answer.body.contains("event: end"), "{answer:?}");
    assert!(child.wait().unwrap().success());
}

/// Guards against a restarted host that missed many revisions and catches up slowly or serves an old one.
#[test]
fn hosts_that_missed_many_changes_are_current_within_2_s() {
    const CHANGES: u64 = 170;
    let mut cluster = Cluster::start(HOSTS);
    let missing = [0, HOSTS - 1];
    missing.iter().for_each(|i| cluster.kill(*i));
    for revision in 2..2 + CHANGES {
        let version = format!("version = \"{revision}\"");
        let content = BUNDLE.replace("version = \"1\"\n[limits]", &format!("{version}\n[limits]"));
        cluster.roll(&content, revision - 1);
    }
    for i in missing {
        cluster.start_host(i);
        let started = Instant::now();
        cluster.wait_ready(i, 1 + CHANGES, Duration::from_secs(2));
        println!("host {i} current after {:?}", started.elapsed());
    }
}

/// Guards against a voter that resumes from a pause (SIGSTOP) and acts on stale state: it must not execute a
/// key a second time, and it must become ready again under the current revision.
#[test]
fn a_resumed_voter_does_not_act_on_stale_state() {
    let cluster = Cluster::start(HOSTS);
    for victim in 0..VOTERS {
        let orders: Vec<_> = (0..8)
            .map(|n| {
                let (addr, key) = (cluster.hosts[victim].addr, format!("frozen-{victim}-{n}"));
                std::thread::spawn(move || {
                    let body = format!("{{\"topic\":\"{key}\"}}");
                    post(addr, "order", &[("idempotency-key", &key)], &body)
                })
            })
            .collect();
        cluster.signal(victim, "STOP");
        std::thread::sleep(Duration::from_millis(1_500));
        for n in 0..8 {
            let (key, host) = (format!("frozen-{victim}-{n}"), (victim + 1) % HOSTS);
            let repeat = cluster.order(host, &key, &key).unwrap();
            if repeat.status == 200 {
                assert_eq!(cluster.executions(&key), 1, "{repeat:?}");
            }
        }
        cluster.signal(victim, "CONT");
        for (n, order) in orders.into_iter().enumerate() {
            let first = order.join().unwrap();
            let key = format!("frozen-{victim}-{n}");
            assert!(cluster.executions(&key) <= 1, "key {key} ran twice: {first:?}");
            let answer = cluster.order(HOSTS - 1, &key, &key).unwrap();
            if answer.status == 200 {
                assert_eq!(cluster.executions(&key), 1, "{answer:?}");
            }
        }
        cluster.wait_ready(victim, 1, Duration::from_secs(4));
    }
}
