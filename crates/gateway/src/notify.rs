use futures_channel::oneshot;
use std::cell::RefCell;
use std::time::Duration;

/// Wakes all tasks of a thread that wait.
#[derive(Debug, Default)]
pub struct Notify(RefCell<Vec<oneshot::Sender<()>>>);

impl Notify {
    /// Wakes every task that waits now.
    pub fn notify(&self) {
        for waiter in self.0.borrow_mut().drain(..) {
            // A task that no longer waits needs no word.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next call of `notify`, but not longer than `limit`.
    pub async fn notified(&self, limit: Duration) {
        let (tx, rx) = oneshot::channel();
        {
            let mut waiters = self.0.borrow_mut();
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(tx);
        }
        // The end of the time is as good as a call.
        let _ = monoio::time::timeout(limit, rx).await;
    }
}
