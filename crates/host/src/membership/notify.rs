use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

use futures_util::task::AtomicWaker;

/// Wakes one task from any thread; several notifications before the task runs are merged.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    pending: AtomicBool,
    waker: AtomicWaker,
}

impl Notify {
    /// Completes the current or next `notified`.
    pub(crate) fn notify(&self) {
        self.pending.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Completes after the next `notify`, or at once if one is pending. Only one task may wait.
    pub(crate) async fn notified(&self) {
        poll_fn(|cx| {
            self.waker.register(cx.waker());
            match self.pending.swap(false, Ordering::Acquire) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}
