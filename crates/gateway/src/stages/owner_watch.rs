use std::rc::Rc;

use super::watched_host::WatchedHost;

/// Counts a call as waiting for a watched host until dropped.
pub(super) struct OwnerWatch(pub(super) Rc<WatchedHost>);

impl Drop for OwnerWatch {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}
