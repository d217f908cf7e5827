use futures_util::StreamExt;
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{LatencyHistogram, start_pacer};

/// Calls at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct OpenLoop {
    /// Calls a second.
    pub rate: RatePerSecond,
    /// How many calls are made.
    pub count: usize,
    /// How many of the first calls are not counted.
    pub warm_up: usize,
}

/// Sends calls in open loop and returns the latencies, counted from the planned time of each call.
/// Calls that failed count with the time until they failed, and are returned as the second value.
///
/// # Errors
///
/// Fails when the pacing thread does not start.
pub async fn open_loop(
    cfg: OpenLoop,
    call: impl Fn(usize) -> Call,
) -> io::Result<(LatencyHistogram, usize)> {
    let gap = Duration::from_secs_f64(1.0 / cfg.rate.get().max(1.0));
    let mut due = start_pacer(cfg.count, move |number| gap * number as u32)?;
    let pool = ConnectionPool::new(ClientLimits::default());
    let seen = Rc::new(RefCell::new((LatencyHistogram::new()?, 0)));
    let mut tasks = Vec::with_capacity(cfg.count);
    while let Some(paced) = due.next().await {
        let (pool, seen, call) = (pool.clone(), seen.clone(), call(paced.number));
        tasks.push(monoio::spawn(async move {
            let ok = pool.fetch(call).await.is_ok_and(|(head, _)| head.status.is_success());
            let latency = Instant::now().saturating_duration_since(paced.planned);
            let (histogram, failed) = &mut *seen.borrow_mut();
            if paced.number >= cfg.warm_up {
                histogram.record(latency);
                *failed += usize::from(!ok);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    Ok(seen.replace((LatencyHistogram::new()?, 0)))
}
