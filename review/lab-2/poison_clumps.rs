//! One part of prompts crashes each engine that begins to write an answer on it. Requests with that part come in clumps.
//! Checks how many of them reach engines later than `contact-ms` after the fifth crash (BUDGET).

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUN_TIME: Duration = Duration::from_secs(40);
const ENGINES: usize = 12;
const ENTRIES: usize = 7;
/// Sound requests a second; they share the first part of their prompts with the others.
const SOUND_PER_SECOND: f64 = 30.0;
/// The requests with the part, all different, that come at a moment at different hosts.
const CLUMP: usize = 6;
const CLUMP_INTERVAL: Duration = Duration::from_millis(5_000);
const FIRST_EVENT_TIME: Duration = Duration::from_millis(70);
const EVENT_TIME: Duration = Duration::from_millis(20);
const EVENTS: usize = 8;
/// How long an engine is away after a crash.
const RESTART_TIME: Duration = Duration::from_millis(3_000);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// The rule bears so many requests with the part after that.
const BORNE: usize = 3;
const SHARED_PART: &str = "5c1e07a2:400";
const POISON_ID: &str = "0bad0bad";
/// The parts before the last one, of which sound requests and others have the same.
const SUBJECTS: u32 = 136;

struct World {
    record: Record,
    has_trouble: bool,
    controls: Vec<SocketAddr>,
    crashes: Mutex<Vec<Instant>>,
    /// When requests with the part arrived at engines.
    poison_runs: Mutex<Vec<Instant>>,
    starts: AtomicU64,
    stopped: AtomicBool,
}

/// Runs the lifetimes of the engine at an address, one after the other.
fn run_engine(world: &Arc<World>, number: usize, addr: SocketAddr) {
    while !world.stopped.load(Ordering::Relaxed) {
        let id = format!("i-engine{number:02}x{}", world.starts.fetch_add(1, Ordering::Relaxed));
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| cannot_run(&format!("{addr}: {e}")));
        listener.set_nonblocking(true).unwrap();
        let crashed = Arc::new(AtomicBool::new(false));
        let reports = report(world, &id, number, addr, crashed.clone());
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        while !crashed.load(Ordering::Relaxed) && !world.stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    streams.lock().unwrap().push(stream.try_clone().unwrap());
                    let (world, id, crashed) = (world.clone(), id.clone(), crashed.clone());
                    thread::spawn(move || serve(&world, &id, &crashed, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        // The end of the process closes its listener and its connections.
        drop(listener);
        streams.lock().unwrap().iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        let _ = reports.join();
        thread::sleep(RESTART_TIME);
    }
}

fn report(
    world: &Arc<World>,
    id: &str,
    number: usize,
    addr: SocketAddr,
    crashed: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (world, id, born) = (world.clone(), id.to_owned(), unix_ms());
    thread::spawn(move || {
        let (mut sequence, mut to) = (0, number);
        let mut next = Instant::now();
        while !crashed.load(Ordering::Relaxed) && !world.stopped.load(Ordering::Relaxed) {
            if Instant::now() < next {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            sequence += 1;
            let body = format!(
                r#"{{"service":"pool","address":"{addr}","zone":"{}","version":"v1","capacity":128,"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#,
                zone(number)
            );
            let sent = call(
                world.controls[to % world.controls.len()],
                &format!("POST /v1/Replicas.Heartbeat/{id}"),
                &[("Host", "control"), ("Content-Type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match sent.is_some_and(|m| m.status() == 200) {
                true => next = Instant::now() + Duration::from_millis(1_200),
                false => to += 1,
            }
        }
    })
}

fn serve(world: &World, id: &str, crashed: &AtomicBool, stream: TcpStream) {
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
        let is_poison = req.header("prefix-hash").is_some_and(|p| p.contains(POISON_ID));
        if is_poison {
            world.poison_runs.lock().unwrap().push(Instant::now());
            world.record.line(&format!("{id} gets {attempt}, which has the part"));
        }
        thread::sleep(FIRST_EVENT_TIME);
        if is_poison && world.has_trouble && !crashed.swap(true, Ordering::Relaxed) {
            world.crashes.lock().unwrap().push(Instant::now());
            world.record.line(&format!("{id} crashes as it begins to answer {attempt}"));
        }
        if crashed.load(Ordering::Relaxed) {
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if out.write_all(head.as_bytes()).is_err() {
            return;
        }
        let last = req.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0_usize);
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if crashed.load(Ordering::Relaxed) || out.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(EVENT_TIME);
        }
        if out.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","hostname":"{HOSTNAME}","path-prefix":"/puxa400/","type":"streaming","timeout-ms":8000,"target-latency-ms":1900,"priority":0,"service":"pool","max-attempts":2,"phases":[],"public":false,"session-affinity":true,"stream-resume":true,"gap-target-ms":500}}],"services":[{{"name":"pool","health-path":"/healthz","max-connections":620,"protocol":"h1","tls":false,"engine":{{"capacity":128,"kv-capacity-tokens":272904}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{API_KEY}"],"priority":1}}]}}"#
    )
}

fn ask(
    world: &World,
    entry: SocketAddr,
    subject: u32,
    is_poison: bool,
    counts: &Mutex<HashMap<String, u64>>,
) {
    let subject = format!("{:08x}", 0x91bd_0000_u32 + subject % SUBJECTS);
    let id = new_id();
    let part = if is_poison { format!("{POISON_ID}:300,") } else { String::new() };
    let prefix = format!("{SHARED_PART},{part}{subject}:200,{}:100", &id[..8]);
    let headers = [
        ("Host", HOSTNAME),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "900,24"),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "8000"),
        ("Api-Key", API_KEY),
    ];
    let answer = call(entry, "POST /puxa400/2f", &headers, id.as_bytes(), Duration::from_secs(9));
    let kind = if is_poison { "poison" } else { "sound" };
    let got = answer.map_or("nothing".to_owned(), |m| {
        format!("{}{}", m.status(), if m.complete { "" } else { " cut" })
    });
    world.record.line(&format!("client {id} ({kind}) got {got}"));
    *counts.lock().unwrap().entry(format!("{kind} {got}")).or_default() += 1;
}

fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).unwrap_or_default()));
    let mut deployment = Deployment::start(4, ENTRIES);
    deployment.submit(&manifest());
    let world = Arc::new(World {
        record: record.clone(),
        has_trouble: has_trouble(),
        controls: deployment.controls(),
        crashes: Mutex::default(),
        poison_runs: Mutex::default(),
        starts: AtomicU64::new(0),
        stopped: AtomicBool::new(false),
    });
    for n in 0..ENGINES {
        let (addr, world) = (deployment.replica_address(), world.clone());
        thread::spawn(move || run_engine(&world, n, addr));
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let entries = deployment.entries();
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let (started, mut sent, mut clumps) = (Instant::now(), 0_usize, 0_u32);
    let mut clients = Vec::new();
    while started.elapsed() < RUN_TIME {
        let now = started.elapsed();
        while (sent as f64) < now.as_secs_f64() * SOUND_PER_SECOND {
            let (world, counts, entry) =
                (world.clone(), counts.clone(), entries[sent % entries.len()]);
            let subject = sent as u32;
            clients.push(thread::spawn(move || ask(&world, entry, subject, false, &counts)));
            sent += 1;
        }
        if now >= CLUMP_INTERVAL * clumps + Duration::from_secs(2) {
            clumps += 1;
            for n in 0..CLUMP {
                let (world, counts, entry) =
                    (world.clone(), counts.clone(), entries[n % entries.len()]);
                let subject = (clumps as usize * CLUMP + n) as u32;
                clients.push(thread::spawn(move || ask(&world, entry, subject, true, &counts)));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ = client.join();
    }
    world.stopped.store(true, Ordering::Relaxed);
    let crashes = world.crashes.lock().unwrap().clone();
    let runs = world.poison_runs.lock().unwrap().clone();
    let fifth = crashes.get(4).copied();
    let late = fifth.map_or(0, |at| runs.iter().filter(|run| **run > at + CONTACT_TIME).count());
    record.say(&format!(
        "{clumps} clumps of {CLUMP} requests with the part; {} reached engines, {} crashes; {late} reached engines later \
         than contact-ms after the fifth crash; clients got {:?}",
        runs.len(),
        crashes.len(),
        counts.lock().unwrap()
    ));
    drop(deployment);
    let is_broken = late > BORNE;
    if is_broken {
        record.say(&format!("BUDGET: {late} requests with the part reached engines, more than {BORNE}"));
    }
    std::process::exit(i32::from(is_broken));
}
