use masticstair_core::unit::ByteCount;

use super::{MemoryBounds, MemoryKind};

/// What a process holds for clients at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldMemory {
    /// The sum of all holdings; at most the total of the bounds, except for what had to be counted by force.
    total: u64,
    /// The part of `total` that requests hold.
    requests: u64,
}

impl HeldMemory {
    /// Returns the sum of all holdings.
    pub fn total(&self) -> ByteCount {
        ByteCount::new(self.total)
    }

    /// Changes the size of a holding. Returns false, and changes nothing, if there is no room.
    pub fn resize(
        &mut self,
        bounds: &MemoryBounds,
        kind: MemoryKind,
        from: ByteCount,
        to: ByteCount,
    ) -> bool {
        if to > from && !self.may_grow(bounds, kind, from, to) {
            return false;
        }
        self.force(kind, from, to);
        true
    }

    /// Changes the size of a holding that exists already, whatever the bounds say.
    pub fn force(&mut self, kind: MemoryKind, from: ByteCount, to: ByteCount) {
        let changed = |held: u64| held.saturating_sub(from.get()) + to.get();
        self.total = changed(self.total);
        if kind == MemoryKind::Request {
            self.requests = changed(self.requests);
        }
    }

    fn may_grow(
        &self,
        bounds: &MemoryBounds,
        kind: MemoryKind,
        from: ByteCount,
        to: ByteCount,
    ) -> bool {
        let after = |held: u64| ByteCount::new(held.saturating_sub(from.get()) + to.get());
        if MemoryBounds::is_small(to) {
            return after(self.total) <= bounds.total();
        }
        let fits_kind = match kind {
            MemoryKind::Answer => true,
            MemoryKind::Request => after(self.requests) <= bounds.large_requests(),
        };
        fits_kind && after(self.total) <= bounds.large()
    }
}
