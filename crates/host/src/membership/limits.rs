//! Intervals, timeouts and size limits of the membership.

use std::time::Duration;

pub use masticstair_policy::membership::limits::GOSSIP_INTERVAL;

/// The timeout of an exchange; a peer that exceeds it is probed indirectly.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of an indirect probe. The sum with `PROBE_TIMEOUT` is less than `SUSPECT_AFTER`.
pub const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of peers that are asked to probe a host that did not answer.
pub const INDIRECT_PROBE_PEERS: usize = 2;

/// The shortest time between two pushes of local updates; updates in between wait for the next
/// push or exchange. A new revision is pushed without this wait.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The number of peers to which a host pushes a revision from the replicated log.
pub const REVISION_PUSH_PEERS: usize = 16;

/// The number of peers to which a host forwards a revision that it fetched.
pub const REVISION_FORWARD_PEERS: usize = 3;

/// The number of peers to which a host announces that it leaves.
pub const LEAVE_PEERS: usize = 16;

/// The largest number of records in one message, about 32 KiB. With 64, the simultaneous leave of all
/// endpoints of a large pool took longer than 2 s to reach all hosts.
pub const RECORDS_PER_MESSAGE: usize = 256;

/// The largest number of fingerprints in one message, 4 KiB.
pub const FINGERPRINTS_PER_MESSAGE: usize = 1_024;

/// A host compares digests if it has received no message with an equal table hash for this long.
pub const DIGEST_AFTER: Duration = Duration::from_secs(3);

/// The shortest time between two digest comparisons.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// Replaces `DIGEST_AFTER` while this host has no recent updates: a difference between tables then means
/// that updates did not reach this host.
pub const QUIET_DIGEST_AFTER: Duration = Duration::from_millis(500);
/// Replaces `DIGEST_INTERVAL` while this host has no recent updates.
pub const QUIET_DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time between attempts to reach a seed or failed host that is not live in the tables.
pub const HEAL_INTERVAL: Duration = Duration::from_secs(5);

/// The time between attempts to join until a seed answers.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// New join attempts start only while fewer than this number for each seed are in progress.
pub const JOIN_ATTEMPTS_PER_SEED: usize = 5;

/// The timeout of each message of a table synchronization.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of the request for each chunk of a bundle.
pub const BUNDLE_CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// The size limit of a bundle; 37,000 accounts take about 6 MB.
pub const MAX_BUNDLE_BYTES: u64 = 32 * 1024 * 1024;

/// The largest number of peers that are kept as sources of a newer revision.
pub const MAX_BUNDLE_SOURCES: usize = 8;

/// The wait after a failed fetch before the next one.
pub const BUNDLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The wait before a host fetches a refused bundle again; a newer revision is fetched at once.
pub const REFUSED_BUNDLE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The number of load reports in one message among `hosts` live hosts. Reports are not passed on, so in
/// a large deployment they would reach a given host too rarely to be useful.
pub const fn load_reports_per_message(hosts: usize) -> usize {
    match hosts {
        0..=16 => 4,
        17..=32 => 2,
        33..=64 => 1,
        _ => 0,
    }
}
