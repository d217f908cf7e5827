use futures_channel::oneshot;
use std::cell::RefCell;
use std::time::Duration;

/// Wakes all waiting tasks of a thread.
#[derive(Debug, Default)]
pub struct Notify(RefCell<Vec<oneshot::Sender<()>>>);

impl Notify {
    /// Wakes every task that is waiting now.
    pub fn notify(&self) {
        for waiter in self.0.borrow_mut().drain(..) {
            // The receiver may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next call of `notify`, at most for `limit`.
    pub async fn notified(&self, limit: Duration) {
        let (tx, rx) = oneshot::channel();
        {
            let mut waiters = self.0.borrow_mut();
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(tx);
        }
        // A timeout and a notification are treated alike.
        let _ = monoio::time::timeout(limit, rx).await;
    }
}
