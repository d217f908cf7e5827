//! Measures the gossip traffic and CPU time per host on loopback, with all hosts in one process.
//!
//! Prints the bytes per second and the share of a core per host, idle and with endpoint changes, and an
//! extrapolation of both to the largest deployment. Bytes are counted on the connections, without the headers
//! of TCP and IP; a host sends as many as it receives.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use masticstair_core::bundle::StageKind;
use masticstair_core::id::Incarnation;
use masticstair_core::unit::{Slots, Timestamp};
use masticstair_host::membership::*;
use masticstair_net::peer::{PeerHandlers, PeerIdentity, PeerServer, ProtocolVersion, Traffic};
use masticstair_net::runtime::block_on;
use masticstair_policy::endpoint_table::limits::RENEWAL_INTERVAL;
use masticstair_policy::endpoint_table::{Announcement, ServedModel};
use monoio::time::sleep;
use slog::{Discard, Logger, o};
use smallvec::smallvec;

/// Duration of the measurement of each case. It starts after `SETTLE_TIME` and `SETTLE_TIME_PER_HOST`, in
/// which every host connects to every other.
const MEASURE_TIME: Duration = Duration::from_secs(8);
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME_PER_HOST: Duration = Duration::from_millis(250);
/// Time for the tasks of a case to stop.
const STOP_TIME: Duration = Duration::from_secs(1);
/// Endpoint changes per second, over all hosts, in the cases with changes.
const CHANGES_PER_SECOND: u32 = 20;
/// The size of the largest deployment, and the budget of one host there.
const LARGEST_HOSTS: f64 = 330.0;
const LARGEST_RECORDS: f64 = 1_100.0;
const LIMIT_BYTES_PER_SECOND: f64 = 5_000.0;
const LIMIT_CORE_PERCENT: f64 = 3.3;

type BenchError = Box<dyn Error>;
type StopSignal = Shared<LocalBoxFuture<'static, ()>>;

/// The parameters of one measurement.
#[derive(Clone, Copy)]
struct Case {
    hosts: usize,
    records: usize,
    changes: bool,
}

/// The cost per host in one measurement.
#[derive(Clone, Copy)]
struct Cost {
    sent_per_second: f64,
    core_percent: f64,
    /// The longest time that a sampled change took to reach all hosts, in milliseconds.
    propagation_ms: f64,
    /// Resident memory of the process divided by the number of hosts, in MB.
    memory_mb: f64,
}

struct Cluster {
    hosts: Vec<Arc<Membership>>,
    /// Stops the tasks of all hosts when it is dropped; the runtime doesn't drop remaining tasks when it
    /// ends.
    stop: RefCell<Option<oneshot::Sender<()>>>,
    incarnations: RefCell<Vec<u64>>,
    /// Ends the tasks that renew and restart endpoints.
    stopped: Cell<bool>,
}

fn main() -> Result<(), BenchError> {
    let by_hosts = [8, 16, 32, 64].map(|hosts| (hosts, 110));
    let by_records = [16, 128, 512, 1_100].map(|records| (32, records));
    println!("hosts records changes/s  sent B/s/host  core %/host  slowest spread ms  MB/host");
    for changes in [false, true] {
        let mut points = Vec::new();
        for (hosts, records) in by_hosts.into_iter().chain(by_records) {
            let case = Case { hosts, records, changes };
            points.push((case, measure(case)?));
        }
        report(&points);
    }
    Ok(())
}

fn report(points: &[(Case, Cost)]) {
    let (by_hosts, by_records) = points.split_at(4);
    for (name, limit, value) in [
        ("bytes", LIMIT_BYTES_PER_SECOND, (|c| c.sent_per_second) as fn(&Cost) -> f64),
        ("core %", LIMIT_CORE_PERCENT, |c| c.core_percent),
    ] {
        let hosts = slope(by_hosts, |c| c.hosts as f64, value);
        let doubling = slope(&by_hosts[2..], |c| (c.hosts as f64).log2(), value);
        let records = slope(by_records, |c| c.records as f64, value);
        let (base, cost) = by_hosts[3];
        // With more hosts, each one makes fewer of the changes itself; the extrapolation ignores that saving.
        let extrapolated = value(&cost)
            + doubling.max(0.0) * (LARGEST_HOSTS / base.hosts as f64).log2()
            + records.max(0.0) * (LARGEST_RECORDS - base.records as f64);
        println!(
            "{name}: {hosts:+.4} per host, {doubling:+.3} per doubling from 32 to 64 hosts, \
             {records:+.5} per record; at 330 hosts and 1,100 records {extrapolated:.1} (limit {limit})"
        );
    }
}

/// Returns the slope of the least-squares line through the points.
fn slope(points: &[(Case, Cost)], x: fn(&Case) -> f64, y: fn(&Cost) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(case, _)| x(case)).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, cost)| y(cost)).sum::<f64>() / count;
    let products = points.iter().map(|(case, cost)| (x(case) - mean_x) * (y(cost) - mean_y));
    let squares = points.iter().map(|(case, _)| (x(case) - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

/// Measures a case on a new runtime and prints the result.
fn measure(case: Case) -> Result<Cost, BenchError> {
    let cost = block_on(run(case))??;
    println!(
        "{:5} {:7} {:9} {:14.0} {:12.3} {:18.0} {:8.2}",
        case.hosts,
        case.records,
        if case.changes { CHANGES_PER_SECOND } else { 0 },
        cost.sent_per_second,
        cost.core_percent,
        cost.propagation_ms,
        cost.memory_mb,
    );
    Ok(cost)
}

async fn run(case: Case) -> Result<Cost, BenchError> {
    let cluster = Rc::new(start(case).await?);
    monoio::spawn(renew_endpoints(cluster.clone()));
    sleep(SETTLE_TIME + SETTLE_TIME_PER_HOST * case.hosts as u32).await;
    if case.changes {
        monoio::spawn(restart_endpoints(cluster.clone()));
        sleep(SETTLE_TIME).await;
    }
    let (traffic, cpu, start) = (Traffic::of_process(), cpu_time()?, Instant::now());
    sleep(MEASURE_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let sent = (Traffic::of_process().written.get() - traffic.written.get()) as f64;
    let cpu = (cpu_time()? - cpu).as_secs_f64();
    let propagation_ms = if case.changes { slowest_propagation(&cluster).await } else { 0.0 };
    let memory = resident_bytes()? / 1e6;
    cluster.stopped.set(true);
    cluster.stop.take();
    sleep(STOP_TIME).await;
    let hosts = case.hosts as f64;
    Ok(Cost {
        sent_per_second: sent / seconds / hosts,
        core_percent: 100.0 * cpu / seconds / hosts,
        propagation_ms,
        memory_mb: memory / hosts,
    })
}

async fn start(case: Case) -> Result<Cluster, BenchError> {
    let mut hosts: Vec<Arc<Membership>> = Vec::new();
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = stopped.map(drop).boxed_local().shared();
    let mut first = None;
    for i in 0..case.hosts {
        let (host, address) = start_host(i, first, stopped.clone())?;
        first = first.or(Some(address));
        hosts.push(host);
    }
    let incarnations = RefCell::new(vec![1; case.records]);
    let stop = RefCell::new(Some(stop));
    Ok(Cluster { hosts, stop, incarnations, stopped: Cell::new(false) })
}

fn start_host(
    i: usize,
    seed: Option<SocketAddr>,
    stop: StopSignal,
) -> Result<(Arc<Membership>, SocketAddr), BenchError> {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = reserved.local_addr()?;
    drop(reserved);
    let identity = PeerIdentity {
        deployment: "bench".parse()?,
        host: format!("entry-{i:03}").parse()?,
        incarnation: Incarnation::new(1_790_000_000_000),
        protocol: ProtocolVersion::CURRENT,
    };
    let start = Instant::now();
    let membership = Membership::new(MembershipConfig {
        identity: identity.clone(),
        address,
        data_centre: "north-1".parse()?,
        durable: false,
        seeds: seed.into_iter().collect(),
        clock: Box::new(move || Timestamp::new(1_000_000).plus(start.elapsed())),
    });
    let peers = Rc::new(PeerPool::new(identity.clone()));
    let bundles = Rc::new(BundleHooks {
        content: Box::new(|_| None),
        install: Box::new(|_, _| Box::pin(async { Ok(()) })),
    });
    let log = Logger::root(Discard, o!());
    let mut handlers = PeerHandlers::refusing();
    install_handlers(&mut handlers, &membership, &peers, &bundles, &log);
    let server = PeerServer::bind(address, identity, handlers)?;
    monoio::spawn(server.run(stop.clone()));
    let stop = stop.boxed_local();
    let cx = MembershipContext { membership: membership.clone(), peers, bundles, log, stop };
    monoio::spawn(run_membership(cx));
    Ok((membership, address))
}

/// Renews every endpoint at its observing host at each renewal interval.
async fn renew_endpoints(cluster: Rc<Cluster>) {
    while !cluster.stopped.get() {
        let records = cluster.incarnations.borrow().len();
        (0..records).for_each(|i| announce(&cluster, i));
        sleep(RENEWAL_INTERVAL).await;
    }
}

/// Restarts one endpoint at a time, `CHANGES_PER_SECOND` in all.
async fn restart_endpoints(cluster: Rc<Cluster>) {
    let mut i = 0;
    while !cluster.stopped.get() {
        cluster.incarnations.borrow_mut()[i] += 1;
        announce(&cluster, i);
        i = (i + 7) % cluster.incarnations.borrow().len();
        sleep(Duration::from_secs(1) / CHANGES_PER_SECOND).await;
    }
}

/// Makes up to 16 changes in turn and waits for each until all hosts know it; returns the longest wait in
/// milliseconds.
async fn slowest_propagation(cluster: &Cluster) -> f64 {
    let mut slowest: f64 = 0.0;
    let count = cluster.incarnations.borrow().len().min(16);
    for i in 0..count {
        cluster.incarnations.borrow_mut()[i] += 1;
        let wanted = cluster.incarnations.borrow()[i];
        announce(cluster, i);
        let start = Instant::now();
        while !cluster.hosts.iter().all(|h| knows(h, i, wanted)) {
            sleep(Duration::from_millis(5)).await;
        }
        slowest = slowest.max(start.elapsed().as_secs_f64() * 1e3);
    }
    slowest
}

fn knows(host: &Membership, i: usize, incarnation: u64) -> bool {
    let id = endpoint_name(i);
    let snapshot = host.snapshot();
    let endpoint = snapshot.endpoints.iter().find(|e| e.record.id.as_str() == id);
    endpoint.is_some_and(|e| e.record.incarnation.get() >= incarnation)
}

fn announce(cluster: &Cluster, i: usize) {
    let incarnation = cluster.incarnations.borrow()[i];
    let host = &cluster.hosts[i % cluster.hosts.len()];
    let Ok(announcement) = announcement(i, incarnation) else { return };
    if let Err(e) = host.announce(announcement) {
        println!("announcement refused: {e}");
    }
}

fn endpoint_name(i: usize) -> String {
    format!("engine-{i:04}")
}

fn announcement(i: usize, incarnation: u64) -> Result<Announcement, BenchError> {
    Ok(Announcement {
        id: endpoint_name(i).parse()?,
        incarnation: Incarnation::new(incarnation),
        leaving: false,
        address: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 9000)),
        pool: "engines-large".parse()?,
        kind: StageKind::Generate,
        data_centre: "north-1".parse()?,
        capacity: Slots::new(64),
        models: smallvec![ServedModel { name: "base-70".parse()?, version: "2026-11".parse()? }],
    })
}

/// Resident memory of this process; the second field of `/proc/self/statm`, in pages of 4 KiB.
fn resident_bytes() -> Result<f64, BenchError> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or("no size in /proc/self/statm")?;
    Ok(pages.parse::<f64>()? * 4096.0)
}

/// User and system time of this process; fields 14 and 15 of `/proc/self/stat`, in ticks of 10 ms.
fn cpu_time() -> Result<Duration, BenchError> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = fields.get(11..13).ok_or("no times in /proc/self/stat")?;
    let ticks = ticks.iter().map(|t| t.parse::<u64>()).sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * 10))
}
