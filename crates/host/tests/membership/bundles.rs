//! Tests of the distribution of bundle revisions.

use std::time::Duration;

use crate::cluster::{TestHost, cluster, within};
use masticstair_core::id::Revision;
use masticstair_net::peer::limits::BUNDLE_CHUNK_LIMIT_BYTES;
use masticstair_net::runtime::block_on;
use monoio::time::sleep;

fn holds(host: &TestHost, revision: u64, content: &[u8]) -> bool {
    let revision = Revision::new(revision);
    host.bundles.borrow().get(&revision).is_some_and(|bytes| **bytes == *content)
        && host.membership.snapshot().revision == revision
}

/// Guards against a revision that reaches some hosts late or never, in particular if its size is at or
/// above the limit of one chunk.
#[test]
fn revision_reaches_8_hosts_within_1_s() {
    struct Case {
        name: &'static str,
        size: usize,
    }
    let cases = [
        Case { name: "one chunk", size: 1_000 },
        Case { name: "exactly one full chunk", size: BUNDLE_CHUNK_LIMIT_BYTES },
        Case { name: "many chunks", size: BUNDLE_CHUNK_LIMIT_BYTES * 5 + 1 },
    ];
    block_on(async {
        let hosts = cluster(8).await;
        for (i, case) in cases.iter().enumerate() {
            let (revision, content) = (i as u64 + 1, vec![i as u8; case.size]);
            hosts[i].publish_bundle(revision, &content);
            within(Duration::from_secs(1), case.name, || {
                hosts.iter().all(|h| holds(h, revision, &content))
            })
            .await;
        }
    })
    .unwrap();
}

/// Guards against a distribution that stops when the host that published the revision fails.
#[test]
fn revision_reaches_8_hosts_when_its_source_dies() {
    block_on(async {
        let mut hosts = cluster(8).await;
        let mut source = hosts.pop().unwrap();
        let content = vec![7; 10_000];
        source.publish_bundle(4, &content);
        within(Duration::from_secs(1), "one host has it", || {
            hosts.iter().any(|h| holds(h, 4, &content))
        })
        .await;
        source.kill();
        within(Duration::from_secs(1), "all hosts have it", || {
            hosts.iter().all(|h| holds(h, 4, &content))
        })
        .await;
    })
    .unwrap();
}

/// Guards against a host that restarts while a revision is distributed, and then stays at the older one.
#[test]
fn restarted_host_gets_the_revision_of_its_peers() {
    block_on(async {
        let mut hosts = cluster(3).await;
        let content = vec![7; 10_000];
        hosts[0].publish_bundle(4, &content);
        let mut late = hosts.pop().unwrap();
        late.kill();
        sleep(Duration::from_millis(100)).await;
        let late = late.restart(2, &[hosts[0].link.address]);
        within(Duration::from_secs(2), "it has the revision", || {
            late.membership.snapshot().synced && holds(&late, 4, &content)
        })
        .await;
    })
    .unwrap();
}
