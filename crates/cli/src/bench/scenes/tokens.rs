//! The delay of each token of 1,000 streams through one host.

use futures_util::StreamExt;
use masticstair_core::bundle::StageKind;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::single_host::{SingleHost, endpoint, token_work};
use crate::bench::load::{
    LatencyHistogram, RuntimeThread, direct_call, read_timed_stream, start_pacer,
};
use crate::bench::{BenchError, Figure, SceneName, Target};

/// Streams at the same time.
const STREAMS: usize = 1_000;
/// Threads with callers, threads with engines, and workers of the host.
const THREADS: usize = 2;
/// Streams begin this far apart, so that their tokens do not come at the same time.
const SPACING: Duration = Duration::from_micros(1_300);
/// Tokens of a stream and the time between them.
const TOKENS: u64 = 40;
const TOKEN_TIME: Duration = Duration::from_millis(50);
/// What is not counted, and when the counting ends. A host raises its limit of concurrent requests step by
/// step after its start, which is over by then.
const WARM_UP: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(17);

/// What the streams of one way delivered.
#[derive(Clone, Debug)]
struct Delivered {
    delays: LatencyHistogram,
    joined: usize,
    broken: usize,
}

/// Streams directly from the engines, then through the host.
pub fn measure_tokens(_seed: u64) -> Result<Vec<Figure>, BenchError> {
    let engine = |thread, addr| {
        let work = token_work(TOKENS, TOKEN_TIME);
        vec![endpoint("engines", StageKind::Generate, thread, work, addr)]
    };
    let single = SingleHost::start(THREADS, THREADS, engine)?;
    let addrs: Vec<_> = single.endpoints.iter().map(|e| e.addrs[0]).collect();
    let direct = stream_all(Duration::from_secs(3), Duration::from_secs(8), move |n| {
        direct_call(addrs[n % addrs.len()], StageKind::Generate, n, true)
    })?;
    let caller = single.caller("stream", true);
    let host = stream_all(WARM_UP, LENGTH, move |n| caller.call(n))?;
    single.stop()?;
    Ok(make_figures(&direct, &host))
}

fn stream_all(
    warm_up: Duration,
    length: Duration,
    call: impl Clone + Fn(usize) -> Call + Send + 'static,
) -> Result<(Delivered, f64), BenchError> {
    let start = |thread: usize| {
        let call = call.clone();
        RuntimeThread::start("bench-load", move || {
            stream_loop(warm_up, length, move |n| call(n * THREADS + thread))
        })
    };
    let threads = (0..THREADS).map(start).collect::<Result<Vec<_>, _>>()?;
    let mut all = Delivered { delays: LatencyHistogram::new()?, joined: 0, broken: 0 };
    for thread in threads {
        let delivered = thread.join()??;
        all.delays.merge(&delivered.delays);
        all.joined += delivered.joined;
        all.broken += delivered.broken;
    }
    let rate = all.delays.count() as f64 / (length - warm_up).as_secs_f64();
    Ok((all, rate))
}

/// Keeps the streams of one thread open, each followed by the next one.
async fn stream_loop(
    warm_up: Duration,
    length: Duration,
    call: impl Fn(usize) -> Call + 'static,
) -> io::Result<Delivered> {
    let pool =
        ConnectionPool::new(ClientLimits { idle_per_endpoint: STREAMS, ..Default::default() });
    let empty = Delivered { delays: LatencyHistogram::new()?, joined: 0, broken: 0 };
    let (seen, call) = (Rc::new(RefCell::new(empty.clone())), Rc::new(call));
    let start = Instant::now();
    let spacing = SPACING * THREADS as u32;
    let mut due = start_pacer(STREAMS / THREADS, move |n| spacing * n as u32)?;
    let mut tasks = Vec::new();
    while let Some(paced) = due.next().await {
        let (pool, seen, call) = (pool.clone(), seen.clone(), call.clone());
        tasks.push(monoio::spawn(async move {
            while start.elapsed() < length {
                let on_token = |delay| {
                    if (warm_up..length).contains(&start.elapsed()) {
                        seen.borrow_mut().delays.record(delay);
                    }
                };
                let count = read_timed_stream(&pool, call(paced.number), on_token).await;
                let mut seen = seen.borrow_mut();
                seen.joined += count.joined;
                seen.broken += usize::from(!count.whole);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    Ok(seen.replace(empty))
}

fn make_figures(direct: &(Delivered, f64), host: &(Delivered, f64)) -> Vec<Figure> {
    let figure = |name: String, unit, target, value| {
        Figure::new(SceneName::Tokens, name, unit, target, value)
    };
    let mut figures = Vec::new();
    // The time of a token includes that of the timer, which rounds up.
    let full = STREAMS as f64 / TOKEN_TIME.as_secs_f64();
    for (way, (seen, rate)) in [("direct", direct), ("through the host", host)] {
        figures.push(figure(format!("tokens {way} a second"), "tokens/s", Target::None, *rate));
        let at_once = STREAMS as f64 * rate / full;
        figures.push(figure(format!("streams {way} at once"), "streams", Target::None, at_once));
        for percent in [50.0, 99.0] {
            let delay = seen.delays.percentile_us(percent);
            figures.push(figure(format!("token {way} p{percent}"), "us", Target::None, delay));
        }
        let joined = seen.joined as f64;
        let target = if way == "direct" { Target::None } else { Target::AtMost(0.0) };
        figures.push(figure(format!("tokens {way} not by themselves"), "tokens", target, joined));
        let broken = seen.broken as f64;
        figures.push(figure(format!("streams {way} broken"), "streams", target, broken));
    }
    let added = host.0.delays.percentile_us(99.0) - direct.0.delays.percentile_us(99.0);
    figures.push(figure("token added p99".to_owned(), "us", Target::Below(1_000.0), added));
    figures
}
