//! Clients that nobody controls send chunked bodies of legal size in very small chunks, all at once, and stop just short
//! of their end. Checks whether ordinary callers of the same host still get answers.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The connections of the crowd.
const CROWD: usize = 800;
/// The bytes of each body before its last one; `max-body-bytes` is 4 MiB.
const BODY_BYTES: usize = (4 << 20) - 1;
const CROWD_TIME: Duration = Duration::from_secs(25);
const CALLERS: usize = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// `timeout-ms` of the route, and the time limit of the callers.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// The answer to a request that is unanswered at its timeout is due within this time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// A caller leaves this long after it has sent its request.
const CALLER_PATIENCE: Duration = Duration::from_millis(3_600);

/// The requests of ordinary callers that were sent while the crowd was there.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    /// Unanswered at the timeout of the route.
    overdue: AtomicU64,
    /// Unanswered half a second after it.
    unanswered: AtomicU64,
}

fn serve_replica(record: &Record, id: &str, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        let attempt = req.header("attempt-id").unwrap_or_default().to_owned();
        record.line(&format!("{id} runs {attempt}"));
        thread::sleep(Duration::from_millis(20));
        let headers = [("Attempt-Id", attempt.as_str()), ("Response-Signature", id)];
        if out.write_all(&answer(200, &headers, "whole body")).is_err() {
            return;
        }
    }
}

/// Sends a body in chunks of one byte, without its end, and stays until `stop`.
fn send_small_chunks(entry: SocketAddr, sent: &AtomicU64, stop: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(5)) else { return };
    let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
    let head = format!(
        "POST /puxa400/2f HTTP/1.1\r\nHost: {HOSTNAME}\r\nAttempt-Id: {}\r\nDeadline-Ms: 3000\r\n\
         Api-Key: {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n",
        new_id()
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let block = b"1\r\nx\r\n".repeat(4_096);
    let mut left = BODY_BYTES * 6;
    while left > 0 && !stop.load(Ordering::Relaxed) {
        match stream.write(&block[..left.min(block.len())]) {
            Ok(0) => return,
            Ok(n) => {
                // A partly written block is continued where it broke off.
                let mut done = n;
                let end = left.min(block.len());
                while done < end && !stop.load(Ordering::Relaxed) {
                    match stream.write(&block[done..end]) {
                        Ok(n) => done += n,
                        Err(e) if is_timeout(&e) => {}
                        Err(_) => return,
                    }
                }
                left -= done;
                sent.fetch_add(done as u64, Ordering::Relaxed);
            }
            Err(e) if is_timeout(&e) => {}
            Err(_) => return,
        }
    }
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
    }
}

fn is_timeout(e: &std::io::Error) -> bool {
    matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// Sends one ordinary request and counts how long its answer takes.
fn call_once(record: &Record, entry: SocketAddr, counts: &Counts) {
    let id = new_id();
    let headers = [
        ("Host", HOSTNAME),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "3000"),
        ("Api-Key", API_KEY),
    ];
    let started = Instant::now();
    let answer = call(entry, "POST /puxa400/2f", &headers, b"question", CALLER_PATIENCE);
    let took = started.elapsed();
    let status = answer.filter(|m| m.complete).map_or(0, |m| m.status());
    record.line(&format!("caller {id} got {status} after {} ms", took.as_millis()));
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let count = |counter: &AtomicU64, is: bool| {
        counter.fetch_add(u64::from(is), Ordering::Relaxed);
    };
    count(&counts.served, status == 200 && took <= TIMEOUT);
    count(&counts.overdue, status == 0 || took > TIMEOUT);
    count(&counts.unanswered, status == 0 || took > TIMEOUT + ANSWER_MARGIN);
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","hostname":"{HOSTNAME}","path-prefix":"/puxa400/","type":"idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":0,"service":"desk","max-attempts":2,"public":false}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{API_KEY}"],"priority":1}}]}}"#
    )
}

fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).unwrap_or_default()));
    let mut deployment = Deployment::start(4, 4);
    deployment.submit(&manifest());
    let controls = deployment.controls();
    let mut replicas = Vec::new();
    for n in 0..4 {
        let (addr, record, id) =
            (deployment.replica_address(), record.clone(), format!("i-desk{n}"));
        let own_id = id.clone();
        let serve: Serve = Arc::new(move |stream| serve_replica(&record, &own_id, stream));
        replicas.push(Replica::start(&id, "desk", &zone(n), 6, addr, controls.clone(), serve));
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let entry = deployment.entries()[0];
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let crowd: Vec<_> = (0..if has_trouble() { CROWD } else { 0 })
        .map(|_| {
            let (stop, sent) = (stop.clone(), sent.clone());
            let thread = thread::Builder::new().stack_size(128 << 10);
            thread.spawn(move || send_small_chunks(entry, &sent, &stop)).unwrap()
        })
        .collect();
    // The crowd has begun.
    thread::sleep(Duration::from_secs(2));
    let counts = Arc::new(Counts::default());
    let (started, mut calls) = (Instant::now(), Vec::new());
    let peak = Mutex::new(0);
    while started.elapsed() < CROWD_TIME - Duration::from_secs(2) {
        for _ in 0..CALLERS {
            let (record, counts) = (record.clone(), counts.clone());
            calls.push(thread::spawn(move || call_once(&record, entry, &counts)));
        }
        let host = deployment.hosts.iter().find(|h| h.frontend() == entry && h.role == Role::Entry);
        let mut peak = peak.lock().unwrap();
        *peak = (*peak).max(host.map_or(0, Host::memory_mb));
        drop(peak);
        thread::sleep(CALL_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    for thread in calls.into_iter().chain(crowd) {
        let _ = thread.join();
    }
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (overdue, unanswered) = (load(&counts.overdue), load(&counts.unanswered));
    record.say(&format!(
        "the crowd sent {} MB; memory of the host {} MB at most; ordinary requests: {} sent, {} served in time, \
         {overdue} unanswered at the timeout, {unanswered} half a second after it",
        load(&sent) >> 20,
        peak.lock().unwrap(),
        load(&counts.sent),
        load(&counts.served)
    ));
    drop(deployment);
    let is_broken = overdue >= 20 && unanswered * 2 > overdue;
    if is_broken {
        record.say("CONFIG: more than half of the requests that are unanswered at timeout-ms have no answer 0.5 s later");
    }
    std::process::exit(i32::from(is_broken));
}
