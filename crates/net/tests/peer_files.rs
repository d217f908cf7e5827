//! Open file descriptors while connections are replaced. The test has its own binary because it counts the
//! descriptors of the whole process.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::host::*;
use common::link::Link;
use masticstair_net::runtime::block_on;
use monoio::time::sleep;

/// Guards against file descriptor leaks: abandoned connections that stay open on either side.
#[test]
fn replaced_connections_are_closed() {
    const ROUNDS: usize = 10;
    block_on(async {
        let link = Link::spawn(serve(identity("test", "far", 1)));
        let client = client(link.address, near_identity(), Some("far"));
        assert_eq!(gossip(&client, 1).await, Ok(1));
        let before = open_files();
        for _ in 0..ROUNDS {
            link.blackhole_open_connections();
            assert!(gossip(&client, 2).await.is_err());
            assert!(recovers(&client).await);
        }
        sleep(Duration::from_millis(100)).await;
        let after = open_files();
        assert!(after <= before + 1, "{before} files before, {after} after {ROUNDS} rounds");
    })
    .unwrap();
}

fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}
