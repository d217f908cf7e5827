//! How much memory the answers that a host keeps may take together.

use masticstair_core::unit::ByteCount;

/// The memory for all answers. Small hosts have 120 MB for everything.
const TOTAL: ByteCount = ByteCount::new(48 << 20);

/// The part of it that only small answers may use, so that a few large ones do not displace all others.
const RESERVED_FOR_SMALL: ByteCount = ByteCount::new(16 << 20);

/// The largest answer that counts as small.
const SMALL_ANSWER: ByteCount = ByteCount::new(64 << 10);

/// Returns whether an answer may grow from `from` to `to` bytes while all answers together take `held` bytes, `from`
/// included.
pub fn may_grow(held: ByteCount, from: ByteCount, to: ByteCount) -> bool {
    let reserved = if to <= SMALL_ANSWER { 0 } else { RESERVED_FOR_SMALL.get() };
    held.get() - from.get().min(held.get()) + to.get() <= TOTAL.get() - reserved
}
