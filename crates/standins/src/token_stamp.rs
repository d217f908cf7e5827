//! Times in the text of tokens, from which a reader in the same process takes the delay of each.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time of now as text: nanoseconds on a clock of this process.
pub fn stamp_now() -> Box<str> {
    ORIGIN.elapsed().as_nanos().to_string().into()
}

/// Returns the time since a text of `stamp_now`; `None` for another text.
pub fn stamp_age(text: &str) -> Option<Duration> {
    let stamped = Duration::from_nanos(text.parse().ok()?);
    Some(ORIGIN.elapsed().saturating_sub(stamped))
}
