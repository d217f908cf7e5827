//! A stage replica sends an extra answer late, at the point where the next answer is expected. The extra answer repeats
//! one all of whose pieces failed. Checks whether engines get results of another request as inputs (MIXED).

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUN_TIME: Duration = Duration::from_secs(40);
/// Requests in progress at a time.
const CLIENTS: usize = 8;
/// The pieces of each request, as many as a call may have.
const PIECES: &str = "8";
const STAGE_REPLICAS: usize = 4;
const ENGINES: usize = 4;
const CALL_TIME: Duration = Duration::from_millis(150);
const ITEM_TIME: Duration = Duration::from_millis(16);
/// The call of such a replica that fails, the only one; it says so with `error` for each of the pieces.
const FAILED_CALL: u64 = 40;
/// The replicas of the service that fail calls and send extra answers: the first ones that have run so many calls.
const GARBLED_REPLICAS: usize = 1;
const GARBLED_AFTER_CALLS: u64 = 10;
/// The case ends early once so many requests got inputs of others.
const ENOUGH: u64 = 20;
/// At most this share of the answers of a replica is followed by an extra one.
const EXTRA_SHARE: f64 = 0.03;

/// What all stand-ins know.
struct World {
    record: Record,
    has_trouble: bool,
    /// The request that each result was made for.
    made_for: Mutex<HashMap<String, String>>,
    wrong_inputs: AtomicU64,
    generations: AtomicU64,
    extras: AtomicU64,
    calls: AtomicU64,
    garbled: Mutex<Vec<String>>,
    stopped: AtomicBool,
}

/// A stage replica: one call at a time, others wait.
struct StageReplica {
    world: Arc<World>,
    id: String,
    addr: String,
    work: Mutex<()>,
    handles: AtomicU64,
    answers: AtomicU64,
    extras: AtomicU64,
}

impl StageReplica {
    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        let mut extra: VecDeque<Vec<u8>> = VecDeque::new();
        while let Some(req) = read_message(&mut reader) {
            // An extra answer comes where the next one is expected.
            if req.path().ends_with("stage-run")
                && let Some(bytes) = extra.pop_front()
            {
                self.world.extras.fetch_add(1, Ordering::Relaxed);
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.world.record.line(&format!("{} sends an extra answer late", self.id));
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            let (bytes, has_failed) = self.answer(&req);
            if out.write_all(&bytes).is_err() {
                return;
            }
            let limit = (self.answers.load(Ordering::Relaxed) as f64 * EXTRA_SHARE) as u64;
            let may_repeat = self.extras.load(Ordering::Relaxed) + (extra.len() as u64) < limit;
            if self.world.has_trouble && has_failed && may_repeat {
                extra.push_back(bytes);
            }
        }
    }

    fn is_garbled(&self) -> bool {
        let mut garbled = self.world.garbled.lock().unwrap();
        let is_busy = self.answers.load(Ordering::Relaxed) >= GARBLED_AFTER_CALLS;
        if is_busy && garbled.len() < GARBLED_REPLICAS && !garbled.contains(&self.id) {
            garbled.push(self.id.clone());
        }
        garbled.contains(&self.id)
    }

    /// Returns the answer to a request, and whether all pieces of a call failed.
    fn answer(&self, req: &Message) -> (Vec<u8>, bool) {
        if req.header("expected-replica").is_some_and(|id| id != self.id) {
            return (answer(421, &[("Not-Executed", "1")], ""), false);
        }
        if !req.path().ends_with("stage-run") {
            return (answer(200, &[("Content-Type", "application/json")], "{}"), false);
        }
        let ids = json_strings(&req.text(), "id");
        {
            let _turn = self.work.lock().unwrap();
            thread::sleep(CALL_TIME + ITEM_TIME * ids.len() as u32);
        }
        self.world.calls.fetch_add(1, Ordering::Relaxed);
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let has_failed = number + 1 == FAILED_CALL && self.is_garbled();
        let items: Vec<_> = ids
            .iter()
            .map(|id| {
                if has_failed {
                    return r#"{"reason":"error"}"#.to_owned();
                }
                let number = self.handles.fetch_add(1, Ordering::Relaxed);
                let handle = format!("{}/{number:011x}", self.addr);
                self.world.made_for.lock().unwrap().insert(handle.clone(), id.clone());
                format!(r#"{{"kv-handle":"{handle}"}}"#)
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", items.join(","));
        self.world.record.line(&format!("{} ran {ids:?}: {body}", self.id));
        let headers = [("Content-Type", "application/json"), ("Replica-Load", "0,0,1")];
        (answer(200, &headers, &body), has_failed)
    }
}

/// An engine: checks that its inputs were made for the request, and streams three events.
fn serve_engine(world: &World, id: &str, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        let inputs = req.header("inputs").unwrap_or_default().to_owned();
        world.generations.fetch_add(1, Ordering::Relaxed);
        let owners: Vec<_> = {
            let made_for = world.made_for.lock().unwrap();
            let owner = |h: &str| made_for.get(h.trim()).cloned().unwrap_or("nobody".into());
            inputs.split(',').map(owner).collect()
        };
        world.record.line(&format!("{id} runs {attempt} with {inputs} made for {owners:?}"));
        if owners.iter().any(|owner| *owner != attempt) {
            world.wrong_inputs.fetch_add(1, Ordering::Relaxed);
            world.record.say(&format!(
                "MIXED: {id} is given {inputs} for request {attempt}; it was made for {owners:?}"
            ));
        }
        let events = (1..=3).map(|n| format!("id: {n}\ndata: {inputs}\n\n"));
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for event in events {
            text += &format!("{:x}\r\n{event}\r\n", event.len());
        }
        text += "0\r\n\r\n";
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","hostname":"{HOSTNAME}","path-prefix":"/puxa400/","type":"streaming","timeout-ms":8000,"target-latency-ms":1900,"priority":0,"service":"pool","max-attempts":1,"phases":[{{"service":"layers","after":[],"size-bytes":8000}}],"public":false,"session-affinity":true,"stream-resume":false,"gap-target-ms":500}}],"services":[{{"name":"pool","health-path":"/healthz","max-connections":620,"protocol":"h1","tls":false,"engine":{{"capacity":128,"kv-capacity-tokens":272904}}}},{{"name":"layers","health-path":"/healthz","max-connections":620,"protocol":"h1","tls":false,"segments":{{"capacity":1,"queue":2,"batch":8,"call-ms":150.0,"item-ms":16.0,"headroom-mb":36.0,"handle-ttl-s":4.0,"link-mbps":10000}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{API_KEY}"],"priority":1}}]}}"#
    )
}

fn client(world: &World, entry: std::net::SocketAddr, counts: &Mutex<HashMap<u16, u64>>) {
    while !world.stopped.load(Ordering::Relaxed) {
        let id = new_id();
        let headers = [
            ("Host", HOSTNAME),
            ("Attempt-Id", id.as_str()),
            ("Model", "m"),
            ("Token-Usage", "200,9"),
            ("Chunk-Count", PIECES),
            ("Chunk-Key", id.as_str()),
            ("Deadline-Ms", "8000"),
            ("Api-Key", API_KEY),
        ];
        let answer =
            call(entry, "POST /puxa400/2f", &headers, b"question", Duration::from_secs(9));
        let status = answer.as_ref().map_or(0, Message::status);
        world.record.line(&format!("client {id} got {status}"));
        *counts.lock().unwrap().entry(status).or_default() += 1;
        if status != 200 {
            thread::sleep(Duration::from_millis(300));
        }
    }
}

fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).unwrap_or_default()));
    let world = Arc::new(World {
        record: record.clone(),
        has_trouble: has_trouble(),
        made_for: Mutex::default(),
        wrong_inputs: AtomicU64::new(0),
        generations: AtomicU64::new(0),
        extras: AtomicU64::new(0),
        calls: AtomicU64::new(0),
        garbled: Mutex::default(),
        stopped: AtomicBool::new(false),
    });
    let mut deployment = Deployment::start(4, 4);
    deployment.submit(&manifest());
    let controls = deployment.controls();
    let mut replicas = Vec::new();
    for n in 0..STAGE_REPLICAS {
        let addr = deployment.replica_address();
        let replica = Arc::new(StageReplica {
            world: world.clone(),
            id: format!("i-stage{n}"),
            addr: addr.to_string(),
            work: Mutex::new(()),
            handles: AtomicU64::new(1),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
        });
        let id = replica.id.clone();
        let serve: Serve = Arc::new(move |stream| replica.serve(stream));
        replicas.push(Replica::start(&id, "layers", &zone(n), 1, addr, controls.clone(), serve));
    }
    for n in 0..ENGINES {
        let (addr, world, id) =
            (deployment.replica_address(), world.clone(), format!("i-engine{n}"));
        let own_id = id.clone();
        let serve: Serve = Arc::new(move |stream| serve_engine(&world, &own_id, stream));
        replicas.push(Replica::start(&id, "pool", &zone(n), 128, addr, controls.clone(), serve));
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let entries = deployment.entries();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (world, counts, entry) = (world.clone(), counts.clone(), entries[n % entries.len()]);
            thread::spawn(move || client(&world, entry, &counts))
        })
        .collect();
    let until = Instant::now() + RUN_TIME;
    while Instant::now() < until && world.wrong_inputs.load(Ordering::Relaxed) < ENOUGH {
        thread::sleep(Duration::from_millis(100));
    }
    world.stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let wrong = world.wrong_inputs.load(Ordering::Relaxed);
    record.say(&format!(
        "{} stage calls, {} extra answers, {} generations, {wrong} with inputs of another request; statuses {:?}",
        world.calls.load(Ordering::Relaxed),
        world.extras.load(Ordering::Relaxed),
        world.generations.load(Ordering::Relaxed),
        counts.lock().unwrap()
    ));
    drop(deployment);
    let served = counts.lock().unwrap().get(&200).copied().unwrap_or(0);
    if served < 50 {
        cannot_run("fewer than 50 requests were served");
    }
    std::process::exit(i32::from(wrong > 0));
}
