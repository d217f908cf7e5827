//! Durations and limits of the endpoint table.

use std::time::Duration;

/// How long an announcement or a renewal keeps the lease valid.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// How often an endpoint renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The longest gap between renewals that count as consecutive.
pub const MAX_RENEWAL_GAP: Duration = Duration::from_millis(750);

/// Consecutive renewals after which a host takes over from an observer that is alive: the endpoint then
/// sends all its renewals to this host. With fewer, an endpoint behind a load balancer could change its
/// observer with every renewal.
pub const TAKEOVER_RENEWALS: u32 = 3;

/// How long an endpoint stays usable after its observer failed, so that it can announce itself to another
/// host: two renewal intervals and the time of a connection attempt.
pub const OBSERVER_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// How long the record of an endpoint that left, expired or lost its observer stays in the table, so that an
/// older update does not restore it.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The largest number of endpoints in the table. Announcements of further ones are refused, and records of
/// further ones from other hosts are ignored.
pub const MAX_ENDPOINTS: usize = 8_192;
