use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use super::InFlight;

/// The count of requests in flight, and the progress of a shutdown: first leaving, then closed.
#[derive(Debug, Default)]
pub struct Drain {
    /// `/readyz` reports the host as unready, so that the load balancer sends no more requests.
    leaving: AtomicBool,
    /// New requests are refused.
    closed: AtomicBool,
    in_flight: Arc<AtomicU32>,
}

impl Drain {
    /// Counts a request until the guard is dropped; `None` once the host accepts no new requests.
    pub fn enter(&self) -> Option<InFlight> {
        // Counted before the check, so that the shutdown sees every request that passes the check.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let entered = InFlight(self.in_flight.clone());
        (!self.closed.load(Ordering::SeqCst)).then_some(entered)
    }

    /// Marks the host as leaving, which the load balancer sees at `/readyz`; requests are still accepted.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops accepting new requests.
    pub fn close(&self) {
        self.leave();
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the host leaves or accepts no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }
}
