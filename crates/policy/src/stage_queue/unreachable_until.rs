use masticstair_core::prelude::*;
use std::time::Duration;

/// A service is unreachable when every endpoint has a longer remaining backoff than this. The backoff of a full
/// endpoint is shorter.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(300);

/// Returns when the first endpoint of an unreachable service is tried again; `None` if an endpoint is reachable
/// or the service has no endpoints. `backoffs` holds the end of the backoff of each endpoint.
pub fn unreachable_until(
    now: Timestamp,
    backoffs: impl Iterator<Item = Timestamp>,
) -> Option<Timestamp> {
    backoffs.min().filter(|next| *next > now.plus(UNREACHABLE_BACKOFF))
}
