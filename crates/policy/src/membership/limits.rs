//! Timeouts, intervals and limits of the membership protocol.

use std::time::Duration;

/// The interval of the gossip exchanges that a host begins.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// The time from the first missed probe of a host to the suspicion.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_000);

/// The time from the suspicion to the declared failure on a healthy host: 3 s after the first missed probe.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The shortest interval between two calls of `MemberTable::expire` that counts as a pause of this process.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long a host that left stays in the table, so that older updates do not add it again.
pub const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// How long a failed host stays in the table, so that the two sides of a partition reconnect after it heals.
pub const FAILED_RETENTION: Duration = Duration::from_secs(3_600);

/// How long the record of a host or endpoint that left or failed stays in digests. It is shorter than every
/// retention; otherwise two hosts could send each other records that they are about to remove.
pub const DIGEST_RETENTION: Duration = Duration::from_secs(30);

/// The limit on hosts in the table; updates about further hosts are dropped.
pub const MAX_HOSTS: usize = 2_048;
