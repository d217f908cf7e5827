//! The last engine of a software version ends and starts again under its id, with the next version. Its check-in comes
//! late. Clients take their streams up again: none may go on at the other version.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http::{self, read_message};
use crate::record;
use crate::replica::{send_check_in, unix_ms};

const ENTRY_HOSTS: usize = 2;
const CLIENTS: usize = 12;

/// Events of a stream, and the time between them.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// When the engine ends, how long its process takes to start, and how late its first check-in is.
const END_AT: Duration = Duration::from_millis(1_500);
const START_TIME: Duration = Duration::from_millis(300);
const CHECK_IN_DELAY: Duration = Duration::from_millis(2_000);

const CLIENT_TIMEOUT: Duration = Duration::from_millis(8_000);

/// An engine at a fixed address.
struct Engine {
    id: &'static str,
    addr: SocketAddr,
    /// The software version of the process that runs; none while there is none.
    version: Mutex<Option<&'static str>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Engine {
    /// Serves on the address until `end` is called.
    fn start(self: &Arc<Self>, version: &'static str) -> Result<(), String> {
        let listener = TcpListener::bind(self.addr).map_err(|e| e.to_string())?;
        *self.version.lock().unwrap() = Some(version);
        let engine = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *engine.version.lock().unwrap() != Some(version) {
                    return;
                }
                engine.connections.lock().unwrap().extend(stream.try_clone());
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream, version));
            }
        });
        Ok(())
    }

    /// Ends the process: closes all connections, and the address accepts no more.
    fn end(&self) {
        *self.version.lock().unwrap() = None;
        // Wakes the thread that accepts, which then drops the listener.
        drop(TcpStream::connect(self.addr));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, version: &'static str) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let attempt = req.header("attempt-id").unwrap_or("").to_owned();
            let last = req.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
            record::line(&format!("{} {version} runs {attempt} after event {last:?}", self.id));
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for n in last.map_or(1, |last| last + 1)..=EVENTS {
                let event = format!("id: {n}\ndata: {version}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                sleep(EVENT_INTERVAL);
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(ENTRY_HOSTS)?;
    deployment.replace(&manifest())?;
    let mut engine = |id| {
        let listener = TcpListener::bind((deployment.new_ip(), 0)).map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let (version, connections) = (Mutex::default(), Mutex::default());
        Ok::<_, String>(Arc::new(Engine { id, addr, version, connections }))
    };
    // The release has replaced all engines but the last one.
    let last = engine("i-last")?;
    let next = ["i-next-0", "i-next-1", "i-next-2"].map(&mut engine);
    last.start("v1")?;
    let control = deployment.control.clone();
    let sequence = Arc::new(AtomicU64::new(0));
    let has_ended = Arc::new(AtomicBool::new(false));
    let check_in = {
        let (addr, sequence, has_ended) = (last.addr, sequence.clone(), has_ended.clone());
        let (control, born) = (control.clone(), unix_ms());
        move || {
            while !has_ended.load(Ordering::SeqCst) {
                let n = sequence.fetch_add(1, Ordering::SeqCst) + 1;
                send_check_in("i-last", "pool", "z-a", "v1", addr, 128, n, born, &control);
                sleep(Duration::from_millis(1_200));
            }
        }
    };
    thread::spawn(check_in);
    deployment.wait_ready()?;
    sleep(Duration::from_secs(3));
    let shared = Arc::new(Shared::default());
    let begun = Instant::now();
    let entry = deployment.entry.clone();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (entry, shared) = (entry.clone(), shared.clone());
            thread::spawn(move || run_client(n, &entry, &shared))
        })
        .collect();
    // New streams have begun; from now on engines of the next version serve beside the last one.
    sleep(Duration::from_millis(700));
    for next in next {
        let next = next?;
        next.start("v2")?;
        let control = control.clone();
        thread::spawn(move || {
            let born = unix_ms();
            for n in 1.. {
                let (id, addr) = (next.id, next.addr);
                send_check_in(id, "pool", "z-a", "v2", addr, 128, n, born, &control);
                sleep(Duration::from_millis(1_200));
            }
        });
    }
    sleep(END_AT.saturating_sub(begun.elapsed()));
    if trouble {
        has_ended.store(true, Ordering::SeqCst);
        record::line("the process of i-last ends");
        last.end();
        sleep(START_TIME);
        last.start("v2")?;
        let born = unix_ms();
        record::line("i-last runs again, with version v2");
        sleep(CHECK_IN_DELAY);
        send_check_in("i-last", "pool", "z-a", "v2", last.addr, 128, 1, born, &control);
        record::line("the check-in of i-last with version v2 arrives");
    }
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    record::line(&format!(
        "streams {CLIENTS}, begun {}, complete {}, with events of two versions {}",
        count(&shared.begun),
        count(&shared.complete),
        count(&shared.mixed)
    ));
    if count(&shared.begun) < CLIENTS {
        return Err("not all streams began".into());
    }
    // "More than two streams hold events from replicas of two software versions of one service".
    Ok(count(&shared.mixed) > 2)
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

#[derive(Default)]
struct Shared {
    begun: AtomicUsize,
    complete: AtomicUsize,
    mixed: AtomicUsize,
}

/// What a client has of its stream.
#[derive(Default)]
struct Stream {
    /// The attempt that brought the first event.
    first: Option<String>,
    last_event: Option<u64>,
    versions: Vec<String>,
}

/// Gets one stream; after a broken connection it takes the stream up again, at the other host.
fn run_client(n: usize, entry: &[SocketAddr], shared: &Shared) {
    let begun = Instant::now();
    let mut stream = Stream::default();
    for try_number in 0..4 {
        let left = CLIENT_TIMEOUT.saturating_sub(begun.elapsed());
        let attempt = format!("{:016x}", 0x9c41_0000_0000 + (n * 16 + try_number) as u64);
        let addr = entry[(n + try_number) % entry.len()];
        match try_stream(addr, &attempt, left, &mut stream) {
            Ok(None) => {
                shared.complete.fetch_add(1, Ordering::SeqCst);
                break;
            }
            Ok(Some(wait)) => sleep(wait),
            Err(e) => {
                record::line(&format!("client {n}: {attempt} broke off: {e}"));
                sleep(Duration::from_millis(150));
            }
        }
    }
    shared.begun.fetch_add(usize::from(stream.first.is_some()), Ordering::SeqCst);
    stream.versions.dedup();
    shared.mixed.fetch_add(usize::from(stream.versions.len() > 1), Ordering::SeqCst);
    record::line(&format!(
        "client {n}: last event {:?}, versions of its events {:?}",
        stream.last_event, stream.versions
    ));
}

/// Sends one attempt and reads its events. Returns none after the whole stream, and how long to wait after a refusal.
fn try_stream(
    addr: SocketAddr,
    attempt: &str,
    left: Duration,
    stream: &mut Stream,
) -> std::io::Result<Option<Duration>> {
    let connection = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(Duration::from_secs(4)))?;
    let left = left.as_millis().to_string();
    let last = stream.last_event.map(|id| id.to_string()).unwrap_or_default();
    let mut headers = vec![
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", &left),
        ("Api-Key", "key-of-t"),
        ("Model", "m"),
        ("Token-Usage", "1460,120"),
        ("Prefix-Hash", "5c1e07a2:800,91bd3f06:410"),
    ];
    if let Some(first) = &stream.first {
        headers.extend([("Resumes", first.as_str()), ("Last-Event-Id", last.as_str())]);
    }
    record::line(&format!("sends {attempt}, resumes {:?} after {last:?}", stream.first));
    http::send(&connection, "POST /draft/2f", &headers, "prompt")?;
    let mut reader = BufReader::new(connection);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim().is_empty() {
            break;
        }
        head.push(line.trim().to_ascii_lowercase());
    }
    let status = head.first().cloned().unwrap_or_default();
    record::line(&format!("{attempt}: {status}"));
    if !status.contains(" 200") {
        let after = head.iter().find_map(|line| line.strip_prefix("retry-after:"));
        let seconds = after.and_then(|v| v.trim().parse().ok()).unwrap_or(0.3);
        return Ok(Some(Duration::from_secs_f64(seconds)));
    }
    let mut id = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse().ok();
        } else if let Some(version) = line.strip_prefix("data: ") {
            stream.first.get_or_insert(attempt.to_owned());
            stream.last_event = id;
            stream.versions.push(version.to_owned());
        } else if line == "0" {
            return Ok(None);
        }
    }
}
