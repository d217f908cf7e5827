use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A notification that wakes every waiting task of the thread.
///
/// A waiter reads the version, checks its condition and waits for a later version, so that no change
/// between the check and the wait is missed.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    version: Cell<u64>,
    /// At most one waker per waiting task.
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of notifications so far.
    pub(crate) fn version(&self) -> u64 {
        self.version.get()
    }

    pub(crate) fn notify(&self) {
        self.version.set(self.version.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the version differs from `seen`.
    pub(crate) async fn changed_since(&self, seen: u64) {
        poll_fn(|cx| {
            if self.version.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
