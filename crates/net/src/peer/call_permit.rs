use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A guard for one call that the client has in flight. Dropping it decrements the count.
pub(crate) struct CallPermit(Arc<AtomicUsize>);

impl CallPermit {
    /// Takes a permit, unless `limit` permits are taken.
    pub(crate) fn try_acquire(in_flight: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let taken = in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
            (count < limit).then_some(count + 1)
        });
        taken.ok().map(|_| Self(in_flight.clone()))
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
