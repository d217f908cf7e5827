//! Tests of which endpoints are routed to.

use std::rc::Rc;
use std::time::Duration;

use crate::cluster::{TestHost, announcement, cluster, within};
use crate::link::LinkMode;
use futures_util::future::{AbortHandle, Abortable};
use masticstair_core::id::Incarnation;
use masticstair_net::runtime::block_on;
use masticstair_policy::endpoint_table::limits::RENEWAL_INTERVAL;
use monoio::time::sleep;

/// The limit for a change to reach all hosts.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Announces an endpoint to a host at the renewal interval until the handle is aborted.
fn renew(host: &TestHost, endpoint: &'static str, incarnation: u64) -> AbortHandle {
    let membership = host.membership.clone();
    let (handle, registration) = AbortHandle::new_pair();
    monoio::spawn(Abortable::new(
        async move {
            loop {
                membership.announce(announcement(endpoint, incarnation)).unwrap();
                sleep(RENEWAL_INTERVAL).await;
            }
        },
        registration,
    ));
    handle
}

/// Guards against any host that still routes to an endpoint 2 s after it left or its lease expired.
#[test]
fn endpoint_gets_no_work_2_s_after_its_end() {
    struct Case {
        name: &'static str,
        end: fn(&TestHost, u64),
        /// The time from the last renewal until the endpoint has to be removed, without the propagation.
        lease: Duration,
    }
    let cases = [
        Case {
            name: "leave",
            end: |host, incarnation| {
                let id = "e".parse().unwrap();
                host.membership.leave_endpoint(&id, Incarnation::new(incarnation)).unwrap();
            },
            lease: Duration::ZERO,
        },
        Case {
            name: "announces that it leaves",
            end: |host, incarnation| {
                let mut leaving = announcement("e", incarnation);
                leaving.leaving = true;
                host.membership.announce(leaving).unwrap();
            },
            lease: Duration::ZERO,
        },
        Case { name: "silence", end: |_, _| {}, lease: Duration::from_millis(1_500) },
    ];
    block_on(async {
        let hosts = cluster(8).await;
        for (i, case) in cases.iter().enumerate() {
            // Each case uses a new incarnation, since those of earlier cases have left or expired.
            let incarnation = i as u64 + 1;
            let renewing = renew(&hosts[i], "e", incarnation);
            within(PROPAGATION_LIMIT, case.name, || hosts.iter().all(|h| h.routes_to("e"))).await;
            // Renewals that change nothing must extend the lease.
            sleep(Duration::from_secs(2)).await;
            assert!(hosts.iter().all(|h| h.routes_to("e")), "{}: lost the lease", case.name);
            renewing.abort();
            (case.end)(&hosts[i], incarnation);
            within(case.lease + PROPAGATION_LIMIT, case.name, || {
                hosts.iter().all(|h| !h.routes_to("e"))
            })
            .await;
        }
    })
    .unwrap();
}

/// Guards against a leave that is delayed because many endpoints leave at the same time.
#[test]
fn many_endpoints_that_leave_at_once_get_no_work_after_2_s() {
    const COUNT: usize = 200;
    block_on(async {
        let hosts = cluster(8).await;
        let names: Vec<String> = (0..COUNT).map(|i| format!("e-{i}")).collect();
        let known = |h: &TestHost| h.membership.snapshot().endpoints.len();
        for name in &names {
            hosts[0].membership.announce(announcement(name, 1)).unwrap();
        }
        // All hosts must know the endpoints before the lease of 1.5 s expires.
        within(Duration::from_millis(1_400), "all are known", || {
            hosts.iter().all(|h| known(h) == COUNT)
        })
        .await;
        for name in &names {
            let id = name.parse().unwrap();
            hosts[0].membership.leave_endpoint(&id, Incarnation::new(1)).unwrap();
        }
        within(PROPAGATION_LIMIT, "all left", || hosts.iter().all(|h| known(h) == 0)).await;
    })
    .unwrap();
}

/// Guards against two faults after the host that observes an endpoint fails: an endpoint that announces
/// itself to another host is lost, or an endpoint that failed with its observer stays in the table.
#[test]
fn endpoint_survives_its_observer_by_announcing_itself_elsewhere() {
    block_on(async {
        let mut hosts = cluster(8).await;
        let mut observer = hosts.pop().unwrap();
        let (moves, dies) = (renew(&observer, "moves", 1), renew(&observer, "dies", 1));
        within(PROPAGATION_LIMIT, "both are known", || {
            hosts.iter().all(|h| h.routes_to("moves") && h.routes_to("dies"))
        })
        .await;
        observer.kill();
        dies.abort();
        moves.abort();
        let _moved = renew(&hosts[0], "moves", 1);
        let hosts = Rc::new(hosts);
        // 3 s until the observer is marked as failed, 2 s of grace, and the propagation.
        let limit = Duration::from_millis(7_500);
        within(limit, "the dead one is gone, the other is there", || {
            assert!(hosts.iter().all(|h| h.routes_to("moves")), "an endpoint was lost");
            hosts.iter().all(|h| !h.routes_to("dies"))
        })
        .await;
    })
    .unwrap();
}

/// Guards against routing that relies on the reports of a suspected observer.
#[test]
fn endpoints_of_a_suspected_observer_are_not_confirmed() {
    block_on(async {
        let mut hosts = cluster(8).await;
        let observer = hosts.pop().unwrap();
        let _renewing = renew(&observer, "e", 1);
        within(PROPAGATION_LIMIT, "it is known", || hosts.iter().all(|h| h.routes_to("e"))).await;
        observer.link.set(LinkMode::DropAll);
        hosts.iter().for_each(|h| h.link.set(LinkMode::Delay(Duration::from_secs(1))));
        within(Duration::from_secs(4), "one host does not confirm it", || {
            let unconfirmed =
                |h: &TestHost| h.membership.snapshot().endpoints.iter().any(|e| !e.confirmed);
            hosts.iter().any(unconfirmed)
        })
        .await;
    })
    .unwrap();
}
