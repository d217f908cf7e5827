use masticstair_core::prelude::*;
use masticstair_net::http::client::{ClientLimits, ConnectionPool};
use monoio::time::{Instant, sleep_until};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::CallResult;
use super::balancer::Balancer;
use super::client::send_record;
use crate::trace::TraceRecord;

/// How often the progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Where a trace is replayed.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// The hosts; requests go in turn to those that are ready, as behind a load balancer. Not empty.
    pub targets: Vec<SocketAddr>,
    /// The bearer tokens of the accounts.
    pub tokens: HashMap<AccountId, Box<str>>,
}

/// Replays a trace in open loop: each request is sent at its time, whatever became of those before.
///
/// Latency counts from the planned time, so that a late sender does not hide a slow host. `progress` is
/// called about once a second with the number of requests sent and answered.
pub async fn replay(
    records: Rc<[TraceRecord]>,
    options: ReplayOptions,
    mut progress: impl FnMut(usize, usize),
) -> Vec<CallResult> {
    let pool = ConnectionPool::new(ClientLimits::default());
    let results = Rc::new(RefCell::new(Vec::with_capacity(records.len())));
    let balancer = Balancer::start(&options.targets);
    let options = Rc::new(options);
    let start = Instant::now();
    let mut next_progress = start + PROGRESS_INTERVAL;
    let mut tasks = Vec::with_capacity(records.len());
    for number in 0..records.len() {
        let planned = start + records[number].at_ms.duration();
        while next_progress < planned {
            sleep_until(next_progress).await;
            progress(number, results.borrow().len());
            next_progress += PROGRESS_INTERVAL;
        }
        sleep_until(planned).await;
        let (records, options) = (records.clone(), options.clone());
        let (pool, results, balancer) = (pool.clone(), results.clone(), balancer.clone());
        tasks.push(monoio::spawn(async move {
            let record = &records[number];
            let addr = balancer.pick();
            let token = options.tokens.get(&record.account).map_or("", AsRef::as_ref);
            let seen = send_record(&pool, addr, token, record).await;
            let result = CallResult {
                record: number,
                latency: millis_since(planned, Instant::now()),
                first_token: seen.first_token.map(|t| millis_since(planned, t)),
                outcome: seen.outcome,
            };
            results.borrow_mut().push(result);
        }));
    }
    for task in tasks {
        task.await;
    }
    let mut results = results.take();
    results.sort_by_key(|r| r.record);
    results
}

fn millis_since(planned: Instant, end: Instant) -> Millis {
    Millis::new(end.saturating_duration_since(planned).as_millis() as u64)
}
