use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(pub(super) Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
