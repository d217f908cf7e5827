use masticstair_core::prelude::*;

/// The tolerated difference between the rates of two hosts' monotonic clocks, in parts per thousand. Quartz
/// clocks differ by less than one part; clocks that are slewed by a time service by at most half a part each.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;

/// The durations after which a holder stops issuing orders and a challenger may take over the lease.
///
/// The replicas read no clock, so both sides measure on their own monotonic clocks:
///
/// - A holder counts its lease from the moment *before* it sent the proposal that was then granted or
///   renewed, and issues no order after `holder_deadline`.
/// - A challenger counts from the moment *after* it received the linearizable read that first showed the
///   renewal count, and challenges no sooner than `earliest_challenge` if a read then shows the same count.
///
/// The count that the challenger names was in the table when it began to observe, so the holder had sent its
/// proposal before that. The holder's lease therefore ends first on any clocks within the tolerated drift. A
/// renewal that commits during the challenge changes the count, and the challenge is refused.
///
/// A paused holder can still send an order that it checked before the pause. Engines that check fencing
/// tokens refuse it. For the others, `max_order_duration` covers the orders in flight, and orders are
/// idempotent and followed by a read of the engine's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// How long a grant or a renewal is valid.
    pub lease_duration: Millis,
    /// The longest time that an order is in flight; 0 for engines that check fencing tokens.
    pub max_order_duration: Millis,
}

impl LeaseTiming {
    /// Returns the time after which the holder issues no order without a further renewal.
    pub const fn holder_deadline(&self, proposed_at: Timestamp) -> Timestamp {
        proposed_at.plus(self.lease_duration.duration())
    }

    /// Returns the earliest time of a challenge to a count that was first read at `first_read_at`.
    pub const fn earliest_challenge(&self, first_read_at: Timestamp) -> Timestamp {
        let span = self.lease_duration.get().saturating_add(self.max_order_duration.get());
        let margin = span.saturating_mul(MAX_CLOCK_DRIFT_PERMILLE).div_ceil(1_000);
        first_read_at.plus(Millis::new(span.saturating_add(margin)).duration())
    }
}
