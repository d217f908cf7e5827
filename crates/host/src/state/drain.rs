use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use super::InFlight;

/// Requests in flight and whether the host leaves.
#[derive(Debug, Default)]
pub struct Drain {
    /// The load balancer is told to send no more.
    leaving: AtomicBool,
    /// New requests are refused.
    closed: AtomicBool,
    in_flight: Arc<AtomicU32>,
}

impl Drain {
    /// Counts a request, unless the host has stopped taking new ones.
    pub fn enter(&self) -> Option<InFlight> {
        // Counting before the check makes sure that a request that passes is seen by the shutdown.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let entered = InFlight(self.in_flight.clone());
        (!self.closed.load(Ordering::SeqCst)).then_some(entered)
    }

    /// Tells the load balancer that the host leaves; requests are still taken.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops taking new requests.
    pub fn close(&self) {
        self.leave();
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the host leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }
}
