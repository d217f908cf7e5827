//! Times and bounds of the membership.

use std::time::Duration;

/// The time between two exchanges that a host begins.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// The time from the first missed probe of a host to the suspicion.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_000);

/// The time from the suspicion to the failure on a healthy host: 3 s after the first missed probe.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time between two calls of `MemberTable::expire` from which on this process counts as paused.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long a host that left stays in the table, so that older news does not bring it back.
pub const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// How long a failed host stays in the table, so that the two sides of a partition find each other again.
pub const FAILED_RETENTION: Duration = Duration::from_secs(3_600);

/// How long a record of a host or endpoint that is gone stays in digests. It is shorter than every
/// retention; otherwise two hosts could give each other records that they were about to forget.
pub const DIGEST_RETENTION: Duration = Duration::from_secs(30);

/// The most hosts in the table; news of more is dropped.
pub const MAX_HOSTS: usize = 2_048;
