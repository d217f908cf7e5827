//! Times and bounds of the gossip.

use std::time::Duration;

pub use masticstair_policy::membership::limits::GOSSIP_INTERVAL;

/// The deadline of an exchange; a peer that misses it is probed through others.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The deadline of an indirect probe. With `PROBE_TIMEOUT` it is less than `SUSPECT_AFTER`.
pub const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Peers that are asked to probe a host that did not answer.
pub const INDIRECT_PROBE_PEERS: usize = 2;

/// The shortest time between two such bursts; other changes wait for the next exchange.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Peers that a host tells at once of a revision that it got from the replicated log.
pub const REVISION_PUSH_PEERS: usize = 16;

/// Peers that a host tells at once of a revision that it fetched.
pub const REVISION_FORWARD_PEERS: usize = 3;

/// Peers that a host tells at once that it leaves.
pub const LEAVE_PEERS: usize = 16;

/// The most records in one message: about 32 KiB. With 64, the endpoints of a large pool that leave at once
/// took longer than 2 s to be known everywhere.
pub const RECORDS_PER_MESSAGE: usize = 256;

/// The most marks in one message: 4 KiB.
pub const FINGERPRINTS_PER_MESSAGE: usize = 1_024;

/// Time without an exchange between equal tables after which a host compares digests.
pub const DIGEST_AFTER: Duration = Duration::from_secs(3);

/// The shortest time between two comparisons of digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// The same two times while no changes are on their way: the tables then differ because this host was
/// passed over.
pub const QUIET_DIGEST_AFTER: Duration = Duration::from_millis(500);
/// See `QUIET_DIGEST_AFTER`.
pub const QUIET_DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time between attempts to reach a seed or a failed host that is not known to be alive.
pub const HEAL_INTERVAL: Duration = Duration::from_secs(5);

/// The time between attempts to join while no peer is known.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// Tries to reach each seed that may be in progress at the same time.
pub const JOIN_ATTEMPTS_PER_SEED: usize = 5;

/// The deadline of each message of a comparison.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// The deadline of each piece of a bundle.
pub const BUNDLE_CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest bundle in bytes; 37,000 accounts take about 6 MB.
pub const MAX_BUNDLE_BYTES: u64 = 32 * 1024 * 1024;

/// Hosts that are remembered as sources of a newer revision.
pub const MAX_BUNDLE_SOURCES: usize = 8;

/// The wait before a bundle is fetched again after a failure.
pub const BUNDLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The wait before a bundle that this host refused is fetched again; a newer revision does not wait.
pub const REFUSED_BUNDLE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Load reports in one message of a cluster of `hosts`. A report is not passed on, so in a large cluster it
/// would reach a given host too rarely to be of use.
pub const fn load_reports_per_message(hosts: usize) -> usize {
    match hosts {
        0..=16 => 4,
        17..=32 => 2,
        33..=64 => 1,
        _ => 0,
    }
}
