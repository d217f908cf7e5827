use masticstair_core::prelude::*;
use std::time::Duration;

/// A wait for the first endpoint of a service above this means that none is reached; a full one is left alone for
/// less.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(300);

/// Returns when the first endpoint is tried again, while all endpoints of a service are left alone for long. `backoffs`
/// tells for each until when that is.
pub fn unreachable_until(
    now: Timestamp,
    backoffs: impl Iterator<Item = Timestamp>,
) -> Option<Timestamp> {
    backoffs.min().filter(|next| *next > now.plus(UNREACHABLE_BACKOFF))
}
