//! A cluster of nodes on one runtime, with links and disks that fail on request.
#![allow(dead_code, reason = "each test file uses a part of the cluster")]

pub mod applied_log;
pub mod case;
pub mod cluster;
pub mod disk;
pub mod fault;
pub mod fault_plan;
pub mod history;
pub mod link_state;
pub mod machine;
pub mod member;
pub mod network;
pub mod write;

use masticstair_core::id::{ReplicaId, Term};
use masticstair_core::message::Replica;
use masticstair_core::unit::{ByteCount, Millis, Slots};
use masticstair_store::consensus::Config;
use std::time::Duration;

/// Timeouts of a fifth of the defaults, so that a case takes about a second.
pub fn fast_config() -> Config {
    Config {
        election_min: Millis::new(60),
        election_max: Millis::new(120),
        heartbeat: Millis::new(10),
        call_timeout: Millis::new(60),
        snapshot_timeout: Millis::new(300),
        replace_after: Millis::new(400),
        target_voters: Slots::new(3),
        compact_above: ByteCount::new(1 << 20),
        keep_tail: ByteCount::new(1 << 10),
        ..Config::default()
    }
}

/// Returns replica number `incarnation` of host `host`; hosts are spread over three data centres.
pub fn replica(host: usize, incarnation: u8) -> Replica {
    let mut bytes = [0; 16];
    (bytes[0], bytes[15]) = (incarnation, host as u8 + 1);
    Replica {
        id: ReplicaId::from_bytes(bytes),
        host: format!("h{host}").parse().unwrap(),
        data_centre: format!("dc{}", host % 3).parse().unwrap(),
    }
}

/// Waits until `check` holds. Fails after 10 s, far above any timeout of the protocol, so that a busy
/// machine does not fail the test.
pub async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..5_000 {
        if check() {
            return;
        }
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("not within 10 s: {what}");
}

/// The term of the first entry of a group.
pub const FIRST_TERM: Term = Term::new(1);
