//! A service is overloaded, and many entry hosts are killed at the same moment. Checks whether the repeats of all hosts
//! together stay within the retry budget (BUDGET).

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: usize = 7;
const REPLICAS: usize = 4;
const SLOTS: u32 = 6;
/// 24 slots serve 9.6 requests a second.
const WORK_TIME: Duration = Duration::from_millis(2_500);
const CALM_PER_SECOND: f64 = 6.0;
const BUSY_PER_SECOND: f64 = 15.0;
/// How long the service is calm before the users come, and how long they stay.
const CALM_TIME: Duration = Duration::from_secs(12);
const BUSY_TIME: Duration = Duration::from_secs(25);
/// The kills come this long after the users. Each strikes 0.55 of the hosts, rounded up, which start again after 1 s.
const KILLS_AFTER: [Duration; 2] = [Duration::from_millis(3_000), Duration::from_millis(6_500)];
const KILLED: usize = 4;
const DOWN_TIME: Duration = Duration::from_secs(1);
/// The bounds of the deployment: `retry-window-s`, `retry-budget-ratio` and `retry-allowance`.
const WINDOW: f64 = 10.0;
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 54.0;

struct World {
    record: Record,
    started: Instant,
    /// When each request was sent by its client.
    requests: Mutex<Vec<f64>>,
    /// When each request arrived at a replica, and whether that was a repeat.
    repeats: Mutex<Vec<f64>>,
    seen: Mutex<HashSet<String>>,
    /// The hosts that the platform sends clients to.
    rotation: Mutex<Vec<SocketAddr>>,
}

impl World {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

fn serve(world: &World, id: &str, busy: &AtomicU32, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        if req.header("expected-replica").is_some_and(|expected| expected != id) {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            if out.write_all(&answer(421, &headers, "")).is_err() {
                return;
            }
            continue;
        }
        let is_repeat = !world.seen.lock().unwrap().insert(attempt.clone());
        if is_repeat {
            world.repeats.lock().unwrap().push(world.now());
        }
        let is_full = busy.fetch_add(1, Ordering::SeqCst) >= SLOTS;
        let verb = if is_full { "turns away" } else { "runs" };
        let mark = if is_repeat { " (a repeat)" } else { "" };
        world.record.line(&format!("{id} {verb} {attempt}{mark}"));
        let answer = match is_full {
            true => answer(503, &[("Not-Executed", "1"), ("Attempt-Id", &attempt)], ""),
            false => {
                thread::sleep(WORK_TIME);
                answer(200, &[("Attempt-Id", &attempt), ("Response-Signature", id)], "done")
            }
        };
        busy.fetch_sub(1, Ordering::SeqCst);
        if out.write_all(&answer).is_err() {
            return;
        }
    }
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","hostname":"{HOSTNAME}","path-prefix":"/puxa400/","type":"idempotent","timeout-ms":8000,"target-latency-ms":4000,"priority":0,"service":"desk","max-attempts":1,"public":false}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{API_KEY}"],"priority":1}}]}}"#
    )
}

/// Asks each host every second whether it is ready, as the platform does; two misses take it out.
fn keep_rotation(world: &World, hosts: &[(SocketAddr, SocketAddr)]) {
    let mut misses = vec![0; hosts.len()];
    loop {
        let asked: Vec<_> = hosts
            .iter()
            .map(|(_, ready)| {
                let ready = *ready;
                thread::spawn(move || {
                    let host = [("Host", "platform")];
                    call(ready, "GET /v1/readyz", &host, b"", Duration::from_millis(900))
                        .is_some_and(|m| m.status() == 200)
                })
            })
            .collect();
        for (n, is_ready) in asked.into_iter().enumerate() {
            misses[n] = if is_ready.join().unwrap_or(false) { 0 } else { misses[n] + 1 };
        }
        let rotation = hosts.iter().zip(&misses).filter(|(_, m)| **m < 2).map(|((f, _), _)| *f);
        *world.rotation.lock().unwrap() = rotation.collect();
        thread::sleep(Duration::from_secs(1));
    }
}

fn ask(world: &World, number: usize, counts: &Mutex<HashMap<u16, u64>>) {
    let rotation = world.rotation.lock().unwrap().clone();
    if rotation.is_empty() {
        return;
    }
    let id = new_id();
    let headers = [
        ("Host", HOSTNAME),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "8000"),
        ("Api-Key", API_KEY),
    ];
    world.requests.lock().unwrap().push(world.now());
    let entry = rotation[number % rotation.len()];
    let answer = call(entry, "POST /puxa400/2f", &headers, b"question", Duration::from_secs(9));
    let status = answer.map_or(0, |m| m.status());
    world.record.line(&format!("client {id} got {status}"));
    *counts.lock().unwrap().entry(status).or_default() += 1;
}

/// Returns the largest excess over the budget of any window, with the window's end, repeats and budget.
fn worst_window(requests: &[f64], repeats: &[f64]) -> (f64, f64, usize, f64) {
    let count = |times: &[f64], from: f64| {
        times.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
    };
    let mut worst = (f64::MIN, 0.0, 0, 0.0);
    for end in repeats {
        let from = end - WINDOW + 1e-6;
        let spans = [from, from - WINDOW, from - WINDOW / 2.0];
        let most = spans.iter().map(|from| count(requests, *from)).max().unwrap_or(0);
        let (extra, budget) = (count(repeats, from), RATIO * most as f64 + ALLOWANCE);
        if extra as f64 - budget > worst.0 {
            worst = (extra as f64 - budget, *end, extra, budget);
        }
    }
    worst
}

fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).unwrap_or_default()));
    let mut deployment = Deployment::start(4, ENTRIES);
    deployment.submit(&manifest());
    let world = Arc::new(World {
        record: record.clone(),
        started: Instant::now(),
        requests: Mutex::default(),
        repeats: Mutex::default(),
        seen: Mutex::default(),
        rotation: Mutex::default(),
    });
    let controls = deployment.controls();
    let mut replicas = Vec::new();
    for n in 0..REPLICAS {
        let (addr, world, id) =
            (deployment.replica_address(), world.clone(), format!("i-desk{n}"));
        let (own_id, busy) = (id.clone(), AtomicU32::new(0));
        let serve: Serve = Arc::new(move |stream| serve(&world, &own_id, &busy, stream));
        replicas.push(Replica::start(&id, "desk", &zone(n), SLOTS, addr, controls.clone(), serve));
    }
    deployment.wait_ready();
    let hosts: Vec<_> = deployment.hosts.iter().filter(|h| h.role == Role::Entry).collect();
    let hosts: Vec<_> =
        hosts.iter().map(|h| (h.frontend(), SocketAddr::new(IpAddr::V4(h.ip), 8621))).collect();
    {
        let world = world.clone();
        thread::spawn(move || keep_rotation(&world, &hosts));
    }
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let (begun, mut due, mut sent) = (Instant::now(), 0.0, 0);
    let (mut kills, mut killed_at, mut struck) = (0, None::<Instant>, Vec::new());
    let mut clients = Vec::new();
    while begun.elapsed() < CALM_TIME + BUSY_TIME {
        let elapsed = begun.elapsed();
        while due <= elapsed.as_secs_f64() {
            let (world, counts) = (world.clone(), counts.clone());
            clients.push(thread::spawn(move || ask(&world, sent, &counts)));
            sent += 1;
            due += 1.0 / if elapsed < CALM_TIME { CALM_PER_SECOND } else { BUSY_PER_SECOND };
        }
        let next_kill = KILLS_AFTER.get(kills).map(|after| CALM_TIME + *after);
        if has_trouble() && next_kill.is_some_and(|at| elapsed >= at) {
            // Others than the last time, as far as there are.
            struck = (0..KILLED).map(|n| 4 + (kills * KILLED + n) % ENTRIES).collect();
            kills += 1;
            killed_at = Some(Instant::now());
            for n in &struck {
                record.say(&format!("{:.1} s: {} is killed", world.now(), deployment.hosts[*n].name));
                deployment.hosts[*n].kill();
            }
        }
        if killed_at.is_some_and(|at| at.elapsed() >= DOWN_TIME) {
            killed_at = None;
            struck.drain(..).for_each(|n| deployment.start_host(n));
            record.say(&format!("{:.1} s: they start again", world.now()));
        }
        thread::sleep(Duration::from_millis(2));
    }
    for client in clients {
        let _ = client.join();
    }
    let (requests, repeats) = (world.requests.lock().unwrap(), world.repeats.lock().unwrap());
    let (excess, end, extra, budget) = worst_window(&requests, &repeats);
    record.say(&format!(
        "{} requests, {} repeats; the worst window ends at {end:.1} s: {extra} repeats, {budget:.1} allowed; clients got {:?}",
        requests.len(),
        repeats.len(),
        counts.lock().unwrap()
    ));
    drop(deployment);
    if excess > 0.0 {
        record.say(&format!("BUDGET: {excess:.1} repeats too many"));
    }
    std::process::exit(i32::from(excess > 0.0));
}
