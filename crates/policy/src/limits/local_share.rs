use super::Amount;
use masticstair_core::prelude::*;

/// Returns the local share of a concurrency limit or burst.
///
/// `index` is the fixed position of the host among `hosts`, unique per host. If the limit doesn't
/// divide evenly, the first hosts get one slot more. A host without a position gets none of the
/// remainder.
pub fn local_slots(limit: Slots, hosts: u32, index: Option<u32>) -> Amount {
    let hosts = hosts.max(1);
    let extra = index.is_some_and(|i| i < limit.get() % hosts);
    Amount::new(u64::from(limit.get() / hosts) + u64::from(extra))
}

/// Returns the local share of a rate, in thousandths of a request per second.
pub fn local_rate(limit: RatePerSecond, hosts: u32) -> Amount {
    Amount::new((limit.get() * 1_000.0 / f64::from(hosts.max(1))) as u64)
}
