use std::future::poll_fn;
use std::task::Poll;

/// Yields to the other tasks of the thread once.
pub(crate) async fn yield_now() {
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
