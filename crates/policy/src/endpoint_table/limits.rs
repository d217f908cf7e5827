//! Times and bounds of the endpoint table.

use std::time::Duration;

/// The lease that an announcement gives.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// How often an endpoint renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The longest gap between renewals that count as consecutive.
pub const MAX_RENEWAL_GAP: Duration = Duration::from_millis(750);

/// Consecutive renewals after which a host takes over from an observer that is alive: the endpoint then
/// sends all its renewals here. Fewer would let an endpoint behind a load balancer swap its observer with
/// every renewal.
pub const TAKEOVER_RENEWALS: u32 = 3;

/// How long a record outlives the failure of its observer, so that the endpoint can announce itself to
/// another host: two renewals and the time of a connection attempt.
pub const OBSERVER_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// How long the record of an endpoint that is gone stays in the table, so that older news does not bring
/// it back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The most endpoints in the table; news of more is dropped.
pub const MAX_ENDPOINTS: usize = 8_192;
