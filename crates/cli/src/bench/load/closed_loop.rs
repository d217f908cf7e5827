use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls that were completed within the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopCount {
    /// Calls that succeeded.
    pub complete: usize,
    /// Calls that failed.
    pub failed: usize,
}

/// Keeps `callers` calls in flight and counts those that end between `warm_up` and `length`.
pub async fn closed_loop(
    callers: usize,
    warm_up: Duration,
    length: Duration,
    call: impl Fn(usize) -> Call + 'static,
) -> LoopCount {
    let pool = ConnectionPool::new(ClientLimits::default());
    let (count, call) = (Rc::new(Cell::new(LoopCount::default())), Rc::new(call));
    let start = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let (pool, count, call) = (pool.clone(), count.clone(), call.clone());
        monoio::spawn(async move {
            while start.elapsed() < length {
                let fetched = pool.fetch(call(caller)).await;
                let ok = fetched.is_ok_and(|(head, _)| head.status.is_success());
                if (warm_up..length).contains(&start.elapsed()) {
                    let LoopCount { complete, failed } = count.get();
                    let (complete, failed) =
                        (complete + usize::from(ok), failed + usize::from(!ok));
                    count.set(LoopCount { complete, failed });
                }
            }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    for task in tasks {
        task.await;
    }
    count.get()
}
