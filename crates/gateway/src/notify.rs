use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The number of waiters up to which those that have stopped waiting are kept.
const MIN_PRUNED: usize = 16;

/// Wakes all waiting tasks of a thread.
#[derive(Debug, Default)]
pub struct Notify {
    /// At most twice as many as there were tasks waiting at the last pruning, or `MIN_PRUNED`.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// How many waiters remained when those that had stopped waiting were removed last.
    remained: Cell<usize>,
}

impl Notify {
    /// Wakes every task that is waiting now.
    pub fn notify(&self) {
        for waiter in self.waiters.borrow_mut().drain(..) {
            // The receiver may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next call of `notify`, at most for `limit`.
    pub async fn notified(&self, limit: Duration) {
        let (tx, rx) = oneshot::channel();
        self.push(tx);
        // A timeout and a notification are treated alike.
        let _ = monoio::time::timeout(limit, rx).await;
    }

    /// Adds a waiter. Going through all of them each time would cost the square of the subscribers for each notification.
    fn push(&self, waiter: oneshot::Sender<()>) {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= MIN_PRUNED.max(2 * self.remained.get()) {
            waiters.retain(|waiter| !waiter.is_canceled());
            self.remained.set(waiters.len());
        }
        waiters.push(waiter);
    }
}
