//! Distinct loopback addresses for tests.

use std::net::Ipv4Addr;
use std::process;
use std::sync::atomic::{AtomicU8, Ordering};

/// Returns an address in 127.64.0.0/10 that no other test uses at the same time.
///
/// On 127.0.0.1, an outgoing connection of another test can take the port of a host that is down.
pub fn unique_address() -> Ipv4Addr {
    static LAST: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, 1 + LAST.fetch_add(1, Ordering::Relaxed) % 250)
}
