use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A guard for one counted connection or body. Dropping it decrements the count.
#[derive(Debug)]
pub(super) struct CountGuard(pub(super) Arc<AtomicU32>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
