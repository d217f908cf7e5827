//! A host is told to stop while it forwards streams, and one of two engines sends nothing for two seconds. All streams are
//! to be forwarded to their end all the same.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::deployment::{CONTROL_HOSTS, Deployment};
use crate::http::{self, Message};
use crate::record;
use crate::replica::{Handler, Replica};

const ENTRY_HOSTS: usize = 4;
const ENGINES: usize = 2;
const CLIENTS: usize = 120;

/// Events of a stream, and the time between them.
const EVENTS: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// After the streams have begun: when the host is told to stop, and when the engine sends nothing.
const STOP_AT: Duration = Duration::from_millis(500);
const SILENT_FROM: Duration = Duration::from_millis(1_000);
const SILENT_UNTIL: Duration = Duration::from_millis(3_000);

const CLIENT_TIMEOUT: Duration = Duration::from_millis(8_000);

#[derive(Default)]
struct Shared {
    /// When the streams began.
    begun: Mutex<Option<Instant>>,
    runs: AtomicUsize,
    /// The streams that began at each engine.
    streams: [AtomicUsize; ENGINES],
    /// The engine that is silent: the one with more streams.
    silent: OnceLock<usize>,
    complete: AtomicUsize,
    cut: AtomicUsize,
    refused: AtomicUsize,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(ENTRY_HOSTS)?;
    deployment.replace(&manifest())?;
    let shared = Arc::new(Shared::default());
    for n in 0..ENGINES {
        let ip = deployment.new_ip();
        let id = format!("i-engine-{n}");
        let zone = ["z-a", "z-b", "z-c"][n];
        let handler = engine_handler(n, id.clone(), shared.clone());
        Replica::start(&id, "pool", zone, ip, 128, &deployment.control, handler)?;
    }
    deployment.wait_ready()?;
    sleep(Duration::from_secs(3));
    *shared.begun.lock().unwrap() = Some(Instant::now());
    let addr = deployment.entry[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let shared = shared.clone();
            thread::spawn(move || run_client(n, addr, &shared))
        })
        .collect();
    sleep(STOP_AT);
    let process = deployment.processes[CONTROL_HOSTS].id();
    let status = Command::new("kill").args(["-TERM", &process.to_string()]).status();
    if !status.is_ok_and(|status| status.success()) {
        return Err("no SIGTERM could be sent".into());
    }
    record::line("SIGTERM to the entry host of the clients");
    let streams = |n: &usize| shared.streams[*n].load(Ordering::SeqCst);
    if let (true, Some(silent)) = (trouble, (0..ENGINES).max_by_key(streams)) {
        let _ = shared.silent.set(silent);
        let (from, until) = (SILENT_FROM.as_millis(), SILENT_UNTIL.as_millis());
        record::line(&format!(
            "i-engine-{silent} has {} streams, and is silent from {from} to {until} ms after they began",
            streams(&silent)
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    record::line(&format!(
        "streams {CLIENTS}, runs {}, complete {}, refused {}, cut {}",
        count(&shared.runs),
        count(&shared.complete),
        count(&shared.refused),
        count(&shared.cut)
    ));
    if count(&shared.complete) + count(&shared.cut) < CLIENTS / 2 {
        return Err("too few streams began".into());
    }
    Ok(count(&shared.cut) > 0)
}

fn manifest() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"shop.example\",\
     \"path-prefix\":\"/draft/\",\"type\":\"streaming\",\"timeout-ms\":8000,\
     \"target-latency-ms\":1900,\"priority\":0,\"service\":\"pool\",\"max-attempts\":2,\
     \"phases\":[],\"public\":false,\"session-affinity\":true,\"stream-resume\":true,\
     \"gap-target-ms\":500}],\"services\":[{\"name\":\"pool\",\"health-path\":\"/healthz\",\
     \"max-connections\":620,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"capacity\":128,\
     \"kv-capacity-tokens\":262108,\"kv-token-bytes\":131072,\"link-mbps\":550000.0,\
     \"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
     \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
     \"tenants\":[{\"name\":\"t\",\"api-keys\":[\"key-of-t\"]}]}"
        .to_owned()
}

/// Streams events; a silent engine makes none between `SILENT_FROM` and `SILENT_UNTIL`.
fn engine_handler(number: usize, id: String, shared: Arc<Shared>) -> Handler {
    Arc::new(move |req: &Message, stream: &mut TcpStream| {
        let attempt = req.header("attempt-id").unwrap_or("").to_owned();
        let last = req.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        shared.runs.fetch_add(1, Ordering::SeqCst);
        shared.streams[number].fetch_add(1, Ordering::SeqCst);
        record::line(&format!("{id} runs {attempt} after event {last:?}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for n in last.map_or(1, |last| last + 1)..=EVENTS {
            let begun = *shared.begun.lock().unwrap();
            let elapsed = begun.map(|begun| begun.elapsed()).unwrap_or_default();
            let is_silent = shared.silent.get() == Some(&number);
            if is_silent && elapsed >= SILENT_FROM && elapsed < SILENT_UNTIL {
                sleep(SILENT_UNTIL - elapsed);
            }
            let event = format!("id: {n}\ndata: {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                record::line(&format!("{id}: the caller closed {attempt} at event {n}"));
                return false;
            }
            sleep(EVENT_INTERVAL);
        }
        record::line(&format!("{id} ends {attempt}"));
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}

fn run_client(n: usize, addr: SocketAddr, shared: &Shared) {
    let attempt = format!("{:016x}", 0x9c41_0000_0000 + n as u64);
    let begun = Instant::now();
    let (outcome, events) = match read_stream(n, addr, &attempt) {
        Ok((Some(status), events)) if !status.contains(" 200") => {
            shared.refused.fetch_add(1, Ordering::SeqCst);
            (status, events)
        }
        Ok((_, events)) => {
            shared.complete.fetch_add(1, Ordering::SeqCst);
            ("complete".to_owned(), events)
        }
        Err(e) => {
            shared.cut.fetch_add(1, Ordering::SeqCst);
            (format!("the channel ended without the end of the answer ({e})"), 0)
        }
    };
    record::line(&format!("{attempt}: {outcome}, {events} events, {:?}", begun.elapsed()));
}

/// Returns the status line and the number of events of a whole answer.
fn read_stream(
    n: usize,
    addr: SocketAddr,
    attempt: &str,
) -> std::io::Result<(Option<String>, usize)> {
    let connection = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    let headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "8000"),
        ("Api-Key", "key-of-t"),
        ("Model", "m"),
        ("Token-Usage", "1460,90"),
        ("Prefix-Hash", &format!("5c1e07a2:800,{:x}:410", 0x91bd_3f06 + n * 7919)),
    ];
    record::line(&format!("sends {attempt}"));
    http::send(&connection, "POST /draft/2f", &headers, "prompt")?;
    let mut reader = BufReader::new(connection);
    let (mut status, mut events) = (None, 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if status.is_none() {
            status = Some(line.to_ascii_lowercase());
            if !line.contains(" 200") {
                return Ok((status, 0));
            }
        } else if line.starts_with("id:") {
            events += 1;
        } else if line == "0" {
            return Ok((status, events));
        }
    }
}
