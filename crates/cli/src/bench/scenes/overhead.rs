//! The latency that one host adds to a call of one stage.

use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use masticstair_net::http::client::Call;
use std::io;
use std::time::Duration;

use super::single_host::{SingleHost, endpoint, whole_work};
use crate::bench::load::{LatencyHistogram, OpenLoop, RuntimeThread, direct_call, open_loop};
use crate::bench::{BenchError, Figure, SceneName, Target};

/// Calls a second.
const RATE: f64 = 1_000.0;
/// Calls of each way; the first ones warm up connections and estimates.
const CALLS: usize = 6_000;
const WARM_UP: usize = 1_000;

/// Calls the same stand-in directly and through the host.
pub fn measure_overhead(seed: u64) -> Result<Vec<Figure>, BenchError> {
    let work = whole_work(Duration::ZERO);
    let encoder = |_, addr| vec![endpoint("encoders", StageKind::Encode, 0, work.clone(), addr)];
    let single = SingleHost::start(1, 1, encoder)?;
    let addr = single.endpoints[0].addrs[0];
    let first = (seed as usize).wrapping_mul(CALLS);
    let caller = single.caller("one", false);
    // Both at the same time, so that other work on the machine delays both alike.
    let direct = start(move |n| direct_call(addr, StageKind::Encode, first + n, false))?;
    let host = start(move |n| caller.call(first + n))?;
    let (direct, host) = (direct.join()??, host.join()??);
    single.stop()?;
    Ok(make_figures(&direct, &host))
}

fn start(
    call: impl Fn(usize) -> Call + Send + 'static,
) -> io::Result<RuntimeThread<io::Result<(LatencyHistogram, usize)>>> {
    let rate = RatePerSecond::try_from(RATE).unwrap_or_default();
    let cfg = OpenLoop { rate, count: CALLS, warm_up: WARM_UP };
    RuntimeThread::start("bench-load", move || open_loop(cfg, call))
}

fn make_figures(
    direct: &(LatencyHistogram, usize),
    host: &(LatencyHistogram, usize),
) -> Vec<Figure> {
    let figure =
        |name: String, target, value| Figure::new(SceneName::Overhead, name, "us", target, value);
    let mut figures = Vec::new();
    for (percent, target) in [(50.0, 200.0), (99.0, 1_000.0)] {
        let (base, through) = (direct.0.percentile_us(percent), host.0.percentile_us(percent));
        figures.push(figure(format!("direct p{percent}"), Target::None, base));
        figures.push(figure(format!("through the host p{percent}"), Target::None, through));
        let added = through - base;
        figures.push(figure(format!("added p{percent}"), Target::Below(target), added));
    }
    let failed = (direct.1 + host.1) as f64;
    figures.push(Figure::new(
        SceneName::Overhead,
        "overhead calls failed",
        "calls",
        Target::AtMost(0.0),
        failed,
    ));
    figures
}
