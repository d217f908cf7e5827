use std::rc::Rc;

use super::watched_host::WatchedHost;

/// A call that waits for a host; ends when it is dropped.
pub(super) struct OwnerWatch(pub(super) Rc<WatchedHost>);

impl Drop for OwnerWatch {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}
