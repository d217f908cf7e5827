use futures_util::future::{AbortHandle, Abortable};

/// Aborts a spawned task when dropped.
pub(crate) struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) -> Self {
        let (handle, registration) = AbortHandle::new_pair();
        monoio::spawn(Abortable::new(task, registration));
        Self(handle)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
