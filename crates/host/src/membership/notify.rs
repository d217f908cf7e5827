use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

use futures_util::task::AtomicWaker;

/// Wakes one task from any thread; several calls before the task runs are one.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    pending: AtomicBool,
    waker: AtomicWaker,
}

impl Notify {
    /// Wakes the task.
    pub(crate) fn notify(&self) {
        self.pending.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Completes after the next call of `notify`, or at once if one came before. Only one task may wait.
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
