//! Engines lose answers of requests that they ran, and break off streams. Checks on how many engines a request of a
//! route with `max-attempts` 2 runs in one client attempt (BUDGET).

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::collections::{BTreeSet, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUN_TIME: Duration = Duration::from_secs(85);
const REQUESTS_PER_SECOND: f64 = 110.0;
const ENGINES: usize = 12;
const MAX_ATTEMPTS: usize = 2;
const EVENTS: usize = 8;
const FIRST_EVENT_TIME: Duration = Duration::from_millis(70);
const EVENT_TIME: Duration = Duration::from_millis(10);
/// The engines with faults: a share of 0.6 of 12.
const FAULTY_ENGINES: usize = 7;
/// The share of the requests that such an engine ran whose answer is lost.
const LOST_SHARE: f64 = 0.4;
/// The share of its answers that break off.
const BROKEN_SHARE: f64 = 0.05;
/// The rule bears so many requests that run on too many replicas.
const BORNE: usize = 3;

struct World {
    record: Record,
    has_trouble: bool,
    /// The engines on which each request ran, by its attempt.
    ran_on: Mutex<HashMap<String, Vec<String>>>,
    runs: AtomicU64,
    draws: Mutex<Draws>,
}

fn serve_engine(world: &World, id: &str, is_faulty: bool, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        if req.header("expected-replica").is_some_and(|expected| expected != id) {
            if out.write_all(&answer(421, &[("Not-Executed", "1"), ("Attempt-Id", &attempt)], "")).is_err() {
                return;
            }
            continue;
        }
        world.runs.fetch_add(1, Ordering::Relaxed);
        world.ran_on.lock().unwrap().entry(attempt.clone()).or_default().push(id.to_owned());
        let (loses, breaks) = {
            let mut draws = world.draws.lock().unwrap();
            let has_fault = world.has_trouble && is_faulty;
            (has_fault && draws.next() < LOST_SHARE, has_fault && draws.next() < BROKEN_SHARE)
        };
        thread::sleep(FIRST_EVENT_TIME);
        if loses {
            thread::sleep(EVENT_TIME * EVENTS as u32);
            world.record.line(&format!("{id} ran {attempt} to its end; the answer is lost"));
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
            if breaks && number == last + 3 {
                world.record.line(&format!("{id} breaks off {attempt} before event {number}"));
                return;
            }
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(EVENT_TIME);
        }
        world.record.line(&format!("{id} ran {attempt} from event {} to its end", last + 1));
        if out.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","hostname":"{HOSTNAME}","path-prefix":"/puxa400/","type":"streaming","timeout-ms":8000,"target-latency-ms":1900,"priority":0,"service":"pool","max-attempts":{MAX_ATTEMPTS},"phases":[],"public":false,"session-affinity":true,"stream-resume":true,"gap-target-ms":500}}],"services":[{{"name":"pool","health-path":"/healthz","max-connections":620,"protocol":"h1","tls":false,"engine":{{"capacity":128,"kv-capacity-tokens":272904}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{API_KEY}"],"priority":1}}]}}"#
    )
}

fn client(world: &World, entry: SocketAddr, counts: &Mutex<HashMap<String, u64>>) {
    let id = new_id();
    let prefix = format!("{:08x}:400,{}:600", 0x5c1e_07a2_u32, &id[..8]);
    let headers = [
        ("Host", HOSTNAME),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "1000,24"),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "8000"),
        ("Api-Key", API_KEY),
    ];
    let answer = call(entry, "POST /puxa400/2f", &headers, b"question", Duration::from_secs(9));
    let got = answer.map_or("nothing".to_owned(), |m| {
        format!("{}{}", m.status(), if m.complete { "" } else { " cut" })
    });
    world.record.line(&format!("client {id} got {got}"));
    *counts.lock().unwrap().entry(got).or_default() += 1;
}

fn main() {
    let mut args = std::env::args().skip(1);
    let record = Record::create(&PathBuf::from(args.next().unwrap_or_default()));
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or_else(|| unix_ms() as u64);
    record.say(&format!("seed {seed}"));
    let world = Arc::new(World {
        record: record.clone(),
        has_trouble: has_trouble(),
        ran_on: Mutex::default(),
        runs: AtomicU64::new(0),
        draws: Mutex::new(Draws::new(seed)),
    });
    let mut deployment = Deployment::start(4, 7);
    deployment.submit(&manifest());
    let controls = deployment.controls();
    let mut replicas = Vec::new();
    for n in 0..ENGINES {
        let (addr, world, id) =
            (deployment.replica_address(), world.clone(), format!("i-engine{n:02}"));
        let own_id = id.clone();
        let serve: Serve =
            Arc::new(move |stream| serve_engine(&world, &own_id, n < FAULTY_ENGINES, stream));
        replicas.push(Replica::start(&id, "pool", &zone(n), 128, addr, controls.clone(), serve));
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let entries = deployment.entries();
    let (started, mut sent) = (Instant::now(), 0_usize);
    let mut clients = Vec::new();
    while started.elapsed() < RUN_TIME {
        while (sent as f64) < started.elapsed().as_secs_f64() * REQUESTS_PER_SECOND {
            let (world, counts, entry) =
                (world.clone(), counts.clone(), entries[sent % entries.len()]);
            clients.push(thread::spawn(move || client(&world, entry, &counts)));
            sent += 1;
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ = client.join();
    }
    let ran_on = world.ran_on.lock().unwrap();
    let distinct = |ran: &[String]| ran.iter().collect::<BTreeSet<_>>().len();
    let too_many: Vec<_> = ran_on.iter().filter(|(_, r)| distinct(r) > MAX_ATTEMPTS).collect();
    for (attempt, ran) in &too_many {
        record.say(&format!("BUDGET: request {attempt} ran on {ran:?}"));
    }
    record.say(&format!(
        "{} requests, {} runs, {} requests ran on more than {MAX_ATTEMPTS} replicas; clients got {:?}",
        ran_on.len(),
        world.runs.load(Ordering::Relaxed),
        too_many.len(),
        counts.lock().unwrap()
    ));
    let is_broken = too_many.len() > BORNE;
    drop(deployment);
    if counts.lock().unwrap().get("200").copied().unwrap_or(0) < 200 {
        cannot_run("fewer than 200 requests were served");
    }
    std::process::exit(i32::from(is_broken));
}
