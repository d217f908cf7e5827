use masticstair_core::unit::ByteCount;

/// The part of a machine's memory that clients may take, in percent. The rest is for the process itself, and for what the
/// allocator loses between blocks of different sizes.
const MACHINE_PERCENT: u64 = 45;

/// The share of the bound that only small holdings may use, so that large ones do not displace ordinary requests.
const SMALL_FRACTION: u64 = 4;

/// What large requests leave to large answers, as a fraction of what both may take.
const ANSWER_FRACTION: u64 = 4;

/// A holding of up to this size is small.
const SMALL: ByteCount = ByteCount::new(64 << 10);

/// The bound of a process that knows nothing of its machine: more than clients inside their limits send at once.
const DEFAULT_TOTAL: ByteCount = ByteCount::new(1 << 30);

/// The largest body of the control listener with what its connection takes; smaller bounds would refuse it in calm.
const MIN_REQUESTS: u64 = 17 << 20;

/// The bounds of what a process holds for clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBounds {
    /// The bound of everything together.
    total: ByteCount,
}

impl Default for MemoryBounds {
    fn default() -> Self {
        Self { total: DEFAULT_TOTAL }
    }
}

impl MemoryBounds {
    /// The least bound that serves each request within the limits.
    pub const MIN_TOTAL: ByteCount = ByteCount::new(
        MIN_REQUESTS * SMALL_FRACTION * ANSWER_FRACTION
            / ((SMALL_FRACTION - 1) * (ANSWER_FRACTION - 1))
            + 1,
    );

    /// Returns bounds with this total, which is raised to `MIN_TOTAL`.
    pub fn new(total: ByteCount) -> Self {
        Self { total: total.max(Self::MIN_TOTAL) }
    }

    /// Returns the bounds of a process on a machine with this memory.
    pub fn of_machine(memory: ByteCount) -> Self {
        Self::new(ByteCount::new(memory.get() / 100 * MACHINE_PERCENT))
    }

    /// The bound of everything together.
    pub fn total(&self) -> ByteCount {
        self.total
    }

    /// The bound of large holdings.
    pub(super) fn large(&self) -> ByteCount {
        ByteCount::new(self.total.get() - self.total.get() / SMALL_FRACTION)
    }

    /// The bound of large requests, and of the largest of them.
    pub fn large_requests(&self) -> ByteCount {
        let large = self.large().get();
        ByteCount::new(large - large / ANSWER_FRACTION)
    }

    pub(super) fn is_small(size: ByteCount) -> bool {
        size <= SMALL
    }
}
