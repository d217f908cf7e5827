//! One client that nobody controls names a large number of pieces in `Chunk-Count`. Checks whether the processes of the
//! system stay within the memory of their machines and go on running.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The pieces of the one request, in a header of 21 bytes.
const PIECES: &str = "4294967295";
/// `memory-mb` of the machines.
const CONTROL_MEMORY_MB: u64 = 256;
const ENTRY_MEMORY_MB: u64 = 260;
/// A process that uses more than this ends the case before the machine of the test suffers.
const STOP_AT_MB: u64 = 3_000;
const WATCH_TIME: Duration = Duration::from_secs(15);

fn serve_stage(id: &str, addr: &str, handles: &AtomicU64, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        if req.header("expected-replica").is_some_and(|expected| expected != id) {
            if out.write_all(&answer(421, &[("Not-Executed", "1")], "")).is_err() {
                return;
            }
            continue;
        }
        let mut body = "{}".to_owned();
        if req.path().ends_with("stage-run") {
            let ids = json_strings(&req.text(), "id");
            thread::sleep(Duration::from_millis(150 + 16 * ids.len() as u64));
            let items: Vec<_> = ids
                .iter()
                .map(|_| {
                    let number = handles.fetch_add(1, Ordering::Relaxed);
                    format!(r#"{{"kv-handle":"{addr}/{number:011x}"}}"#)
                })
                .collect();
            body = format!("{{\"items\":[{}]}}", items.join(","));
        }
        let headers = [("Content-Type", "application/json"), ("Replica-Load", "0,0,1")];
        if out.write_all(&answer(200, &headers, &body)).is_err() {
            return;
        }
    }
}

fn serve_engine(id: &str, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader) {
        let attempt = req.header("attempt-id").unwrap_or_default();
        let event = "id: 1\ndata: token\n\n";
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
            event.len()
        );
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

fn ask(entry: std::net::SocketAddr, pieces: &str) -> u16 {
    let id = new_id();
    let headers = [
        ("Host", HOSTNAME),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "200,9"),
        ("Chunk-Count", pieces),
        ("Chunk-Key", id.as_str()),
        ("Deadline-Ms", "8000"),
        ("Api-Key", API_KEY),
    ];
    let answer = call(entry, "POST /puxa400/2f", &headers, b"question", Duration::from_secs(9));
    answer.map_or(0, |m| m.status())
}

fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).unwrap_or_default()));
    let mut deployment = Deployment::start(4, 4);
    deployment.submit(&manifest());
    let controls = deployment.controls();
    let mut replicas = Vec::new();
    for n in 0..4 {
        let (addr, id) = (deployment.replica_address(), format!("i-stage{n}"));
        let (own_id, own_addr, handles) = (id.clone(), addr.to_string(), AtomicU64::new(1));
        let serve: Serve =
            Arc::new(move |stream| serve_stage(&own_id, &own_addr, &handles, stream));
        replicas.push(Replica::start(&id, "layers", &zone(n), 1, addr, controls.clone(), serve));
        let (addr, id) = (deployment.replica_address(), format!("i-engine{n}"));
        let own_id = id.clone();
        let serve: Serve = Arc::new(move |stream| serve_engine(&own_id, stream));
        replicas.push(Replica::start(&id, "pool", &zone(n), 128, addr, controls.clone(), serve));
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let entries = deployment.entries();
    let before = ask(entries[0], "2");
    record.say(&format!("a request with 2 pieces got {before}"));
    if before != 200 {
        cannot_run("an ordinary request was not served before the disruption");
    }
    let pieces = if has_trouble() { PIECES } else { "2" };
    let entry = entries[0];
    let sent = thread::spawn(move || ask(entry, pieces));
    record.say(&format!("a client sends one request with {pieces} pieces"));
    let (started, mut broken) = (Instant::now(), Vec::<String>::new());
    let mut peaks = vec![0; deployment.hosts.len()];
    while started.elapsed() < WATCH_TIME {
        for (n, host) in deployment.hosts.iter_mut().enumerate() {
            let limit =
                if host.role == Role::Control { CONTROL_MEMORY_MB } else { ENTRY_MEMORY_MB };
            let memory = host.memory_mb();
            if memory > limit && peaks[n] <= limit {
                broken.push(host.name.clone());
                record.say(&format!(
                    "{} uses {memory} MB of {limit} MB, {} ms after the request was sent",
                    host.name,
                    started.elapsed().as_millis()
                ));
            }
            peaks[n] = peaks[n].max(memory);
            if let Some(status) = host.ended() {
                broken.push(host.name.clone());
                record.say(&format!("{} has ended: {status}", host.name));
                host.kill();
            }
            if memory > STOP_AT_MB {
                record.say(&format!("{} is ended by the test at {memory} MB", host.name));
                host.kill();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!("the client got {}", sent.join().unwrap_or(0)));
    for (host, peak) in deployment.hosts.iter().zip(&peaks) {
        record.say(&format!("{}: {peak} MB at most", host.name));
    }
    let after = ask(entries[1], "2");
    record.say(&format!("an ordinary request at another entry host then got {after}"));
    drop(deployment);
    if !broken.is_empty() {
        record.say(&format!("{} processes ended or outgrew their machines: {broken:?}", broken.len()));
    }
    std::process::exit(i32::from(!broken.is_empty()));
}
