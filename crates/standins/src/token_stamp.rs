//! Timestamps in the text of tokens, from which a reader in the same process computes the delay of each token.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the current time as text: nanoseconds on a monotonic clock of this process.
pub fn stamp_now() -> Box<str> {
    ORIGIN.elapsed().as_nanos().to_string().into()
}

/// Returns the time since a timestamp of `stamp_now`; `None` when the text is not a number.
pub fn stamp_age(text: &str) -> Option<Duration> {
    let stamped = Duration::from_nanos(text.parse().ok()?);
    Some(ORIGIN.elapsed().saturating_sub(stamped))
}
