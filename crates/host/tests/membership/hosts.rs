//! Tests of which hosts are live.

use std::time::Duration;

use crate::cluster::{cluster, within};
use crate::link::{Link, LinkMode};
use masticstair_core::id::Incarnation;
use masticstair_host::membership::limits::{GOSSIP_INTERVAL, HEAL_INTERVAL, PROBE_TIMEOUT};
use masticstair_net::runtime::block_on;
use masticstair_policy::membership::Refutation;
use masticstair_policy::membership::limits::{SUSPECT_AFTER, SUSPICION_TIMEOUT};
use monoio::time::sleep;

/// Guards against a killed host that stays live or is marked as failed too early, and against a restart
/// that is not detected.
#[test]
fn killed_host_fails_and_comes_back_with_a_higher_incarnation() {
    block_on(async {
        let mut hosts = cluster(8).await;
        let mut victim = hosts.pop().unwrap();
        victim.kill();
        // 3 s after the first missed probe, which takes some gossip intervals, and the propagation.
        let gone = within(Duration::from_millis(4_500), "the host failed everywhere", || {
            hosts.iter().all(|h| !h.sees(&victim.id))
        })
        .await;
        assert!(gone >= Duration::from_secs(2), "failed after only {gone:?}");
        let seeds = [hosts[0].link.address];
        let restarted = victim.restart(2, &seeds);
        within(Duration::from_secs(2), "the host is back everywhere", || {
            let back = |h: &crate::cluster::TestHost| {
                h.membership.snapshot().is_live(&victim.id, Incarnation::new(2))
            };
            hosts.iter().all(back) && restarted.live() == 8
        })
        .await;
    })
    .unwrap();
}

/// Guards against a restart that is detected only after the earlier incarnation is marked as failed.
#[test]
fn quick_restart_replaces_the_earlier_incarnation() {
    block_on(async {
        let mut hosts = cluster(4).await;
        let mut victim = hosts.pop().unwrap();
        victim.kill();
        sleep(Duration::from_millis(50)).await;
        let restarted = victim.restart(2, &[hosts[0].link.address]);
        within(Duration::from_secs(2), "the new incarnation is known everywhere", || {
            let alive = |h: &crate::cluster::TestHost| {
                let snapshot = h.membership.snapshot();
                snapshot.is_live(&victim.id, Incarnation::new(2))
                    && !snapshot.is_live(&victim.id, Incarnation::new(1))
            };
            hosts.iter().all(alive) && restarted.live() == 4
        })
        .await;
    })
    .unwrap();
}

/// Guards against a live host that is marked as failed because of a fault on its link.
#[test]
fn live_hosts_survive_link_faults() {
    struct Case {
        name: &'static str,
        fault: fn(&Link),
        lasts: Duration,
        /// Whether the host has to be suspected and refute that.
        suspected: bool,
    }
    let cases = [
        Case {
            name: "open connections dead",
            fault: Link::blackhole_open_connections,
            lasts: Duration::from_secs(4),
            suspected: false,
        },
        Case {
            name: "requests to the host cut",
            fault: |link| link.set(LinkMode::DropRequests),
            lasts: Duration::from_secs(8),
            suspected: true,
        },
        Case {
            name: "answers of the host cut",
            fault: |link| link.set(LinkMode::DropReplies),
            lasts: Duration::from_secs(8),
            suspected: true,
        },
        Case {
            name: "slow link",
            fault: |link| link.set(LinkMode::Delay(Duration::from_millis(100))),
            lasts: Duration::from_secs(4),
            suspected: false,
        },
        Case {
            name: "silent for less than the suspicion takes",
            fault: |link| link.set(LinkMode::DropAll),
            lasts: Duration::from_millis(1_500),
            suspected: false,
        },
    ];
    block_on(async {
        for case in cases {
            let hosts = cluster(8).await;
            (case.fault)(&hosts[3].link);
            let start = std::time::Instant::now();
            while start.elapsed() < case.lasts {
                let live: Vec<_> = hosts.iter().map(|h| h.live()).collect();
                assert!(live.iter().all(|n| *n == 8), "{}: {live:?}", case.name);
                sleep(Duration::from_millis(20)).await;
            }
            let refuted = hosts[3].membership.snapshot().hosts.iter().any(|h| {
                h.record.host == hosts[3].id && h.record.refutation > Refutation::default()
            });
            if case.suspected {
                assert!(refuted, "{}: no suspicion to refute", case.name);
            }
        }
    })
    .unwrap();
}

/// Guards against hosts that stay failed after an outage of all links ends.
#[test]
fn isolated_hosts_fail_and_refute_that_after_reconnecting() {
    block_on(async {
        let hosts = cluster(8).await;
        hosts.iter().for_each(|h| h.link.set(LinkMode::DropAll));
        // Each host probes its 7 peers in turn, and may need two passes to reach the last one. A host
        // whose probes all fail extends the suspicion timeout of 2 s by a factor of four.
        let probed = GOSSIP_INTERVAL * 14 + PROBE_TIMEOUT;
        let limit = probed + SUSPECT_AFTER + SUSPICION_TIMEOUT * 4 + Duration::from_secs(1);
        within(limit, "all are alone", || hosts.iter().all(|h| h.live() == 1)).await;
        hosts.iter().for_each(|h| h.link.set(LinkMode::Forward));
        // Each host contacts one failed host every 5 s, and gossip propagates the refutations.
        within(HEAL_INTERVAL * 2 + Duration::from_secs(2), "all see all again", || {
            hosts.iter().all(|h| h.live() == 8)
        })
        .await;
        for host in &hosts {
            let snapshot = host.membership.snapshot();
            assert!(
                snapshot.is_live(&host.id, Incarnation::new(1)),
                "the incarnation is no longer live"
            );
            assert_eq!(snapshot.superseded, None);
        }
    })
    .unwrap();
}

/// Guards against hosts that still treat a host as live after it left, and so may send it work.
#[test]
fn leave_spreads_within_2_s() {
    block_on(async {
        let mut hosts = cluster(8).await;
        let mut leaving = hosts.pop().unwrap();
        leaving.leave();
        within(Duration::from_secs(2), "the host left everywhere", || {
            hosts.iter().all(|h| !h.sees(&leaving.id))
        })
        .await;
    })
    .unwrap();
}

/// Guards against a process that continues after a higher incarnation of the same host has started.
#[test]
fn process_with_an_outdated_incarnation_is_notified() {
    block_on(async {
        let hosts = cluster(3).await;
        let newer = hosts[2].restart_elsewhere(5, &[hosts[0].link.address]);
        within(Duration::from_secs(3), "the outdated process knows", || {
            hosts[2].membership.snapshot().superseded == Some(Incarnation::new(5))
        })
        .await;
        assert_eq!(newer.membership.snapshot().superseded, None);
    })
    .unwrap();
}
