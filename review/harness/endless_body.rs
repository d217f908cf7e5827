//! An answer of one replica has no end. Requests to the other replicas are to be answered in time all the same.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, is_ready};
use crate::http::{self, Message, read_message};
use crate::record;
use crate::replica::{Handler, Replica};

/// What the endless answer consists of.
#[derive(Clone, Copy)]
pub enum Tail {
    /// A body in chunks; the size of the first chunk never ends.
    ChunkSize,
    /// Heads of interim responses, one after the other.
    InterimResponses,
}

const ENTRY_HOSTS: usize = 2;
const REPLICAS: usize = 4;
const CLIENTS_PER_HOST: usize = 16;

/// The route's `timeout-ms`, and what the clients wait: those of order-book on the sheet of the deployment.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long after its time limit a request may go without its final answer.
const SLACK: Duration = Duration::from_millis(500);

const TROUBLE_AT: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(25);

#[derive(Default)]
struct Counts {
    sent: u64,
    answered: u64,
    /// Unanswered at the route's timeout.
    overdue: u64,
    /// Of these, unanswered half a second later.
    unanswered: u64,
}

pub fn run(trouble: bool, tail: Tail) -> Result<bool, String> {
    let mut deployment = Deployment::start(ENTRY_HOSTS)?;
    deployment.replace(&manifest())?;
    let is_due = Arc::new(AtomicBool::new(false));

    for n in 0..REPLICAS {
        let ip = deployment.new_ip();
        let id = format!("i-{n}");
        let handler = handler(id.clone(), (n == 0 && trouble).then(|| (is_due.clone(), tail)));
        let zone = ["z-a", "z-b", "z-c"][n % 3];
        let control = &deployment.control;
        Replica::start(&id, "orders", zone, ip, 6, control, handler)?;
    }
    deployment.wait_ready()?;
    sleep(Duration::from_secs(2));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let begun = Instant::now();
    let mut clients = Vec::new();
    let balancer = Arc::new(Balancer::start(&deployment));
    for host in 0..ENTRY_HOSTS {
        for n in 0..CLIENTS_PER_HOST {
            let (balancer, counts) = (balancer.clone(), counts.clone());
            let name = format!("c{host}-{n}");
            clients.push(thread::spawn(move || run_client(&name, host, &balancer, begun, &counts)));
        }
    }
    sleep(TROUBLE_AT);
    {
        let counts = counts.lock().unwrap();
        if counts.answered < 100 || counts.overdue > 0 {
            return Err(format!(
                "before the disruption: {} answered, {} overdue",
                counts.answered, counts.overdue
            ));
        }
    }
    is_due.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for (n, child) in deployment.processes.iter_mut().enumerate() {
        let ended = child.try_wait().ok().flatten();
        record::line(&format!("process {n}: {}", ended.map_or("runs".into(), |s| s.to_string())));
    }
    let counts = counts.lock().unwrap();
    record::line(&format!(
        "sent {}, answered {}, without an answer at timeout-ms {}, of these without an answer 0.5 s later {}",
        counts.sent, counts.answered, counts.overdue, counts.unanswered
    ));
    // "Eight or more of them, and over a quarter, have no final answer from machines in touch 0.5 s after it."
    Ok(counts.unanswered >= 8 && counts.unanswered * 4 > counts.overdue)
}

/// The routes of the two kinds of request of an orders service.
fn manifest() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"path-prefix\":\"{prefix}\",\
             \"type\":\"{kind}\",\"timeout-ms\":1500,\"target-latency-ms\":300,\"priority\":2,\
             \"service\":\"orders\",\"max-attempts\":{attempts},\"phases\":[],\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"orders\",\
         \"health-path\":\"/healthz\",\"max-connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"t\",\"api-keys\":[\"key-of-t\"]}}]}}",
        route("order-book", "/orders/", "non_idempotent", 1),
        route("stock-check", "/stock/", "idempotent", 2)
    )
}

fn handler(id: String, endless: Option<(Arc<AtomicBool>, Tail)>) -> Handler {
    Arc::new(move |req: &Message, stream: &mut TcpStream| {
        let attempt = req.header("attempt-id").unwrap_or("").to_owned();
        if let Some((is_due, tail)) = &endless {
            // One answer at a time is endless.
            if is_due.swap(false, Ordering::SeqCst) {
                record::line(&format!("replica {id} begins an answer without end to {attempt}"));
                let sent = send_endlessly(stream, &attempt, *tail);
                record::line(&format!("replica {id}: the caller closed after {sent} bytes"));
                is_due.store(true, Ordering::SeqCst);
                return false;
            }
        }
        sleep(Duration::from_millis(60));
        record::line(&format!("replica {id} ran {attempt}"));
        let body = "x".repeat(800);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).is_ok()
    })
}

/// Sends until the caller closes; returns the number of bytes. Several threads send, so that one that has to wait for the
/// processor leaves no gap.
fn send_endlessly(stream: &mut TcpStream, attempt: &str, tail: Tail) -> u64 {
    let head =
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (head, tail, threads) = match tail {
        Tail::ChunkSize => (head.as_str(), "0".repeat(1 << 18), 3),
        // The bytes of two threads would mix.
        Tail::InterimResponses => ("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000), 1),
    };
    if stream.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let sent = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                let mut stream: &TcpStream = stream;
                while stream.write_all(tail.as_bytes()).is_ok() {
                    sent.fetch_add(tail.len() as u64, Ordering::SeqCst);
                }
            });
        }
    });
    sent.into_inner()
}

/// The platform in front of the entry hosts: takes a host out of rotation after two misses, until it answers 200 again.
struct Balancer {
    entry: Vec<SocketAddr>,
    in_rotation: Arc<Vec<AtomicBool>>,
}

impl Balancer {
    fn start(deployment: &Deployment) -> Self {
        let in_rotation: Vec<_> = deployment.entry.iter().map(|_| AtomicBool::new(true)).collect();
        let in_rotation = Arc::new(in_rotation);
        for (host, addr) in deployment.ready.iter().copied().enumerate() {
            let in_rotation = in_rotation.clone();
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if is_ready(addr) { 0 } else { misses + 1 };
                    let before = in_rotation[host].swap(misses < 2, Ordering::SeqCst);
                    if before != (misses < 2) {
                        record::line(&format!("entry host {host} in rotation: {}", misses < 2));
                    }
                    sleep(Duration::from_secs(1));
                }
            });
        }
        Self { entry: deployment.entry.clone(), in_rotation }
    }

    /// Returns the host for a new connection of a client.
    fn choose(&self, preferred: usize) -> SocketAddr {
        let is_usable = |host: &usize| self.in_rotation[*host].load(Ordering::SeqCst);
        let others = (0..self.entry.len()).filter(|host| *host != preferred);
        let host = std::iter::once(preferred).chain(others).find(is_usable);
        self.entry[host.unwrap_or(preferred)]
    }
}

/// Sends one request after the other on a kept connection, and opens a new one when that has ended.
fn run_client(
    name: &str,
    preferred: usize,
    balancer: &Balancer,
    begun: Instant,
    counts: &Mutex<Counts>,
) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut connection: Option<BufReader<TcpStream>> = None;
    while begun.elapsed() < LENGTH - CLIENT_TIMEOUT {
        let stream = match connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect_timeout(
                &balancer.choose(preferred),
                Duration::from_secs(1),
            ) {
                Ok(stream) => BufReader::new(stream),
                Err(e) => {
                    record::line(&format!("{name}: no connection: {e}"));
                    sleep(Duration::from_millis(300));
                    continue;
                }
            },
        };
        let attempt = format!("{:016x}", 0x9c41_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst));
        let headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", &attempt),
            ("Deadline-Ms", "3000"),
            ("Api-Key", "key-of-t"),
        ];
        let sent_at = Instant::now();
        record::line(&format!("{name} sends {attempt}"));
        counts.lock().unwrap().sent += 1;
        let sent = http::send(stream.get_ref(), "POST /orders/book", &headers, &"y".repeat(600));
        let mut stream = stream;
        let _ = stream.get_ref().set_read_timeout(Some(CLIENT_TIMEOUT));
        let answer = sent.and_then(|()| read_message(&mut stream));
        let took = sent_at.elapsed();
        let mut counts = counts.lock().unwrap();
        let is_final = match answer {
            Ok(Some(answer)) => {
                record::line(&format!("{name} {attempt}: {} after {took:?}", answer.status()));
                counts.answered += 1;
                connection = Some(stream);
                true
            }
            // A closed connection is final, too.
            Ok(None) => {
                record::line(&format!("{name} {attempt}: closed after {took:?}"));
                true
            }
            Err(e) => {
                record::line(&format!("{name} {attempt}: nothing after {took:?} ({e})"));
                took < ROUTE_TIMEOUT + SLACK
            }
        };
        counts.overdue += u64::from(took >= ROUTE_TIMEOUT);
        counts.unanswered += u64::from(took >= ROUTE_TIMEOUT + SLACK || !is_final);
        drop(counts);
        sleep(Duration::from_millis(50));
    }
}
