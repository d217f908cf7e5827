//! Disks that take no more bytes for a time.
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::time::Duration;
use support::BUNDLE;
use support::cluster::{Cluster, VOTERS};

/// The longest time from the return of a disk until its replica has every entry. A lost host counts as back
/// after this time.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// How a disk fills up and is freed again.
struct Case {
    name: &'static str,
    fill: fn(&mut Cluster, usize),
    /// Whether the contents of the disk are lost as well.
    is_lost: bool,
}

/// Guards against replicas that stay out for good after their disk was full once, so that the group has no
/// quorum after one short fault of each disk.
#[test]
fn full_disks_come_back() {
    let cases = [
        Case {
            name: "full while the host runs",
            fill: |c, i| c.set_disk_full(i, true),
            is_lost: false,
        },
        Case {
            name: "full at the start of the process",
            fill: |c, i| {
                c.kill(i);
                c.start_with_full_disk(i);
            },
            is_lost: false,
        },
        Case {
            name: "full at the first start",
            fill: |c, i| {
                c.kill(i);
                c.remove_data(i);
                c.start_with_full_disk(i);
            },
            is_lost: true,
        },
    ];
    let mut cluster = Cluster::start(VOTERS);
    let mut revision = 1;
    for case in cases {
        println!("case: {}", case.name);
        for voter in 0..VOTERS {
            let lost = case.is_lost.then(|| cluster.replica(voter));
            (case.fill)(&mut cluster, voter);
            cluster.roll(&next_bundle(revision), revision);
            revision += 1;
            std::thread::sleep(Duration::from_secs(1));
            cluster.set_disk_full(voter, false);
            cluster.wait_replicated(lost, CATCH_UP_LIMIT);
            assert!(cluster.is_running(voter), "{}: host {voter} exited", case.name);
        }
    }
}

fn next_bundle(revision: u64) -> String {
    BUNDLE
        .replace("version = \"1\"\n[limits]", &format!("version = \"{}\"\n[limits]", revision + 1))
}
