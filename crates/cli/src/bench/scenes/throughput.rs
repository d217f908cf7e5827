//! Requests and tokens a second through one worker thread.

use masticstair_core::bundle::StageKind;
use masticstair_net::http::client::{ClientLimits, ConnectionPool};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::single_host::{SingleHost, endpoint, token_work, whole_work};
use crate::bench::deployment::EndpointSpec;
use crate::bench::load::{
    Caller, LoopCount, RuntimeThread, closed_loop, read_timed_stream, thread_cpu,
};
use crate::bench::{BenchError, Figure, SceneName, Target};

/// Threads with stand-ins, and threads with callers.
const THREADS: usize = 3;
/// Callers of each thread.
const CALLERS: usize = 64;
/// What is not counted, and when the counting ends.
const WARM_UP: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(5);
/// The time of a stage: enough that the callers keep the worker busy, little enough to need few of them.
const STAGE_TIME: Duration = Duration::from_millis(1);
/// Tokens of a stream.
const TOKENS: u64 = 500;

/// Measures requests of four stages, then streams.
pub fn measure_throughput(seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = measure_requests(seed)?;
    figures.extend(measure_streams()?);
    Ok(figures)
}

fn measure_requests(seed: u64) -> Result<Vec<Figure>, BenchError> {
    let single = SingleHost::start(1, THREADS, four_pools)?;
    let caller = single.caller("four", false);
    let threads = (0..THREADS).map(|thread| {
        let (caller, first) = (caller.clone(), (seed as usize + thread) << 16);
        RuntimeThread::start("bench-load", move || {
            closed_loop(CALLERS, WARM_UP, LENGTH, move |n| caller.call(first + n))
        })
    });
    let threads = threads.collect::<Result<Vec<_>, _>>()?;
    let cpu = sample_cpu();
    let mut total = LoopCount::default();
    for thread in threads {
        let LoopCount { complete, failed } = thread.join()?;
        total.complete += complete;
        total.failed += failed;
    }
    single.stop()?;
    let seconds = (LENGTH - WARM_UP).as_secs_f64();
    let rate = total.complete as f64 / seconds;
    let target = Target::AtLeast(5_000.0);
    let each = cpu.as_secs_f64() * 1e6 / (total.complete.max(1)) as f64;
    let figure =
        |name, unit, target, value| Figure::new(SceneName::Throughput, name, unit, target, value);
    Ok(vec![
        figure("four-stage requests a second", "requests/s", target, rate),
        figure("worker CPU for each four-stage request", "us", Target::None, each),
        figure("worker busy with requests", "share", Target::None, cpu.as_secs_f64() / seconds),
        figure("four-stage requests failed", "requests", Target::AtMost(0.0), total.failed as f64),
    ])
}

fn measure_streams() -> Result<Vec<Figure>, BenchError> {
    let engine = |thread, addr| {
        let work = token_work(TOKENS, Duration::ZERO);
        vec![endpoint("engines", StageKind::Generate, thread, work, addr)]
    };
    let single = SingleHost::start(1, THREADS, engine)?;
    let caller = single.caller("stream", true);
    let start = |_| {
        let caller = caller.clone();
        RuntimeThread::start("bench-load", move || stream_loop(caller))
    };
    let threads = (0..THREADS).map(start).collect::<Result<Vec<_>, _>>()?;
    let cpu = sample_cpu();
    let (mut tokens, mut broken) = (0, 0);
    for thread in threads {
        let count = thread.join()?;
        tokens += count.complete;
        broken += count.failed;
    }
    single.stop()?;
    let seconds = (LENGTH - WARM_UP).as_secs_f64();
    let each = cpu.as_secs_f64() * 1e6 / tokens.max(1) as f64;
    let figure =
        |name, unit, target, value| Figure::new(SceneName::Throughput, name, unit, target, value);
    let target = Target::AtLeast(100_000.0);
    Ok(vec![
        figure("streamed tokens a second", "tokens/s", target, tokens as f64 / seconds),
        figure("worker CPU for each token", "us", Target::None, each),
        figure("worker busy with streams", "share", Target::None, cpu.as_secs_f64() / seconds),
        figure("throughput streams broken", "streams", Target::AtMost(0.0), broken as f64),
    ])
}

/// Returns the processor time of the worker while requests are counted.
fn sample_cpu() -> Duration {
    std::thread::sleep(WARM_UP);
    let before = thread_cpu("worker-");
    std::thread::sleep(LENGTH - WARM_UP);
    (thread_cpu("worker-") - before).0
}

/// Reads streams one after the other; returns the tokens of the measured time and the broken streams.
async fn stream_loop(caller: Caller) -> LoopCount {
    let pool = ConnectionPool::new(ClientLimits::default());
    let (tokens, broken) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let start = Instant::now();
    let tasks = (0..CALLERS).map(|n| {
        let (pool, caller) = (pool.clone(), caller.clone());
        let (tokens, broken) = (tokens.clone(), broken.clone());
        monoio::spawn(async move {
            while start.elapsed() < LENGTH {
                let on_token = |_| {
                    let counted = (WARM_UP..LENGTH).contains(&start.elapsed());
                    tokens.set(tokens.get() + usize::from(counted));
                };
                let count = read_timed_stream(&pool, caller.call(n), on_token).await;
                broken.set(broken.get() + usize::from(!count.whole));
            }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    for task in tasks {
        task.await;
    }
    LoopCount { complete: tokens.get(), failed: broken.get() }
}

fn four_pools(thread: usize, host: SocketAddr) -> Vec<EndpointSpec> {
    let pools = [
        ("encoders", StageKind::Encode),
        ("retrievers", StageKind::Retrieve),
        ("rerankers", StageKind::Rerank),
        ("engines", StageKind::Generate),
    ];
    let make = |(pool, kind)| endpoint(pool, kind, thread, whole_work(STAGE_TIME), host);
    pools.map(make).into()
}
