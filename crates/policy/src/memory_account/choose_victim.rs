use masticstair_core::unit::{ByteCount, Timestamp};
use std::cmp::Reverse;
use std::time::Duration;

use super::{HolderNumber, HolderView};

/// A client that has kept the process waiting for less may be on a slow link.
const STALL: Duration = Duration::from_millis(500);

/// How long a request waits for room before a younger one gives way. By then, stalled connections have.
const YIELD_AFTER: Duration = Duration::from_millis(1_000);

/// Requests that hold less free too little.
const MIN_YIELD: ByteCount = ByteCount::new(64 << 10);

/// Returns the connection that gives way so that another one, whose request began at `begun` and has waited for room since
/// `wants_room_since`, gets some: the one that holds the most of those whose clients have stalled; otherwise the youngest
/// of the requests that wait for room themselves, so that the older ones complete.
pub fn choose_victim(
    now: Timestamp,
    holders: impl Iterator<Item = HolderView> + Clone,
    begun: Timestamp,
    wants_room_since: Timestamp,
) -> Option<HolderNumber> {
    let stalled = holders.clone().filter(|h| waited(now, h) >= STALL);
    if let Some(h) = stalled.max_by_key(|h| (h.held, waited(now, h))) {
        return Some(h.number);
    }
    if now.since(wants_room_since) < YIELD_AFTER {
        return None;
    }
    let younger =
        holders.filter(|h| h.wants_room_since.is_some() && h.begun > begun && h.held >= MIN_YIELD);
    younger.max_by_key(|h| (h.begun, h.number)).map(|h| h.number)
}

/// Returns the connection that gives way to a new one: that whose client has stalled the longest.
pub fn choose_idle(
    now: Timestamp,
    holders: impl Iterator<Item = HolderView>,
) -> Option<HolderNumber> {
    let stalled = holders.filter(|h| waited(now, h) >= STALL);
    stalled.max_by_key(|h| waited(now, h)).map(|h| h.number)
}

/// Returns connections that together hold `excess`, as far as there are any whose clients have stalled: first those that
/// hold the most.
pub fn choose_excess(
    now: Timestamp,
    holders: impl Iterator<Item = HolderView>,
    excess: ByteCount,
) -> Vec<HolderNumber> {
    let mut stalled: Vec<_> = holders.filter(|h| waited(now, h) >= STALL).collect();
    stalled.sort_by_key(|h| Reverse((h.held, waited(now, h))));
    let mut freed = 0;
    let is_needed = |h: &HolderView| {
        let is_needed = freed < excess.get();
        freed += h.held.get();
        is_needed
    };
    stalled.into_iter().take_while(is_needed).map(|h| h.number).collect()
}

/// Returns the connections whose clients have read nothing of their answers for `limit`.
pub fn choose_blocked(
    now: Timestamp,
    holders: impl Iterator<Item = HolderView>,
    limit: Duration,
) -> impl Iterator<Item = HolderNumber> {
    holders.filter(move |h| h.is_blocked && waited(now, h) >= limit).map(|h| h.number)
}

fn waited(now: Timestamp, holder: &HolderView) -> Duration {
    holder.waits_since.map(|since| now.since(since)).unwrap_or_default()
}
