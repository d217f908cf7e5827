//! A stand-in of a replica: checks in, and runs requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, Record};
use crate::http::{self, Message};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub replica: String,
    pub tenant: Option<String>,
    pub begun: Instant,
    /// Whether the whole answer was sent.
    pub is_answered: bool,
}

/// The runs of all replicas, in the order in which they began.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What the body of a request holds that ends the replicas that run it.
pub const DEADLY: &str = "deadly";

/// Whether answers are lost now.
pub static LOSES_ANSWERS: AtomicBool = AtomicBool::new(false);

/// What a replica answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// A stream of so many events. While `LOSES_ANSWERS` is set, `lost` of 1,000 answers are lost: the connection is closed
    /// before the head, or after some events, although the request runs.
    Stream { events: u64, lost: u64 },
    /// A stream of so many events, one each 50 ms, which name the software that wrote them.
    Versioned { events: u64 },
    /// A short complete answer. A request with `DEADLY` in its body ends the replica soon after it has begun; the replica is
    /// back after 2 s.
    Plain,
}

#[derive(Clone)]
pub struct Replica {
    id: String,
    address: SocketAddr,
    work: Work,
    runs: Runs,
    record: Record,
    version: &'static str,
    number: u8,
    service: String,
    controls: Vec<SocketAddr>,
    /// The number of this lifetime at the address.
    lifetime: u32,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Starts a replica of a service.
pub fn start(
    deployment: &Deployment,
    number: u8,
    service: &str,
    work: Work,
    runs: &Runs,
) -> Result<Replica, String> {
    start_version(deployment, number, service, work, runs, "v1", Duration::ZERO)
}

/// Starts a replica with a version of its software. Its first check-in arrives after `late`.
pub fn start_version(
    deployment: &Deployment,
    number: u8,
    service: &str,
    work: Work,
    runs: &Runs,
    version: &'static str,
    late: Duration,
) -> Result<Replica, String> {
    let replica = Replica {
        id: format!("i-{number:02}{:06x}", std::process::id()),
        address: deployment.replica(number),
        work,
        runs: runs.clone(),
        record: deployment.record.clone(),
        version,
        number,
        service: service.to_owned(),
        controls: (1..=3).map(|n| deployment.control(n)).collect(),
        lifetime: 0,
        has_ended: Arc::default(),
        connections: Arc::default(),
    };
    replica.launch(late)?;
    Ok(replica)
}

impl Replica {
    /// Begins to serve and to check in; the first check-in arrives after `late`.
    fn launch(&self, late: Duration) -> Result<(), String> {
        let listener = TcpListener::bind(self.address).map_err(|e| e.to_string())?;
        self.record.line(&format!(
            "replica {} of {} started with version {}",
            self.id, self.service, self.version
        ));
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(known) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(known);
                }
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        let checking_in = self.clone();
        std::thread::spawn(move || checking_in.check_in(late));
        Ok(())
    }

    /// Ends the process as a crash does, and starts it again after 2 s in a new lifetime with a new id.
    fn crash(&self) {
        if self.has_ended.load(Ordering::SeqCst) {
            return;
        }
        self.end();
        let lifetime = self.lifetime + 1;
        let next = Self {
            id: format!("i-{:02}{:06x}{lifetime}", self.number, std::process::id()),
            lifetime,
            has_ended: Arc::default(),
            connections: Arc::default(),
            ..self.clone()
        };
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(2));
            if let Err(reason) = next.launch(Duration::ZERO) {
                next.record.line(&format!("replica {} did not start: {reason}", next.id));
            }
        });
    }

    /// Ends the process: its connections break, and nobody listens at its address.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("replica {} with version {} ended", self.id, self.version));
    }

    /// Checks in about every 1.2 s, with the next control host after a failure.
    fn check_in(&self, late: Duration) {
        let (service, controls) = (&self.service, &self.controls);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let mut at = usize::from(self.address.port()) % controls.len();
        std::thread::sleep(late);
        for sequence in 1_u64.. {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"capacity\":64,\
                 \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                self.address, self.version
            );
            let path = format!("/v1/Replicas.Heartbeat/{}", self.id);
            let headers = [("Content-Type", "application/json".to_owned())];
            for _ in 0..controls.len() {
                let timeout = Duration::from_secs(1);
                let sent =
                    http::call(controls[at], "POST", &path, &headers, body.as_bytes(), timeout);
                if sent.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                at = (at + 1) % controls.len();
            }
            std::thread::sleep(Duration::from_millis(1_200));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = http::read_message(&mut reader) {
            if !req.is_complete || !self.answer(&req, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, req: &Message, writer: &mut TcpStream) -> bool {
        let expected = req.header("expected-replica");
        if expected.is_some_and(|id| id != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        if req.path() == "/healthz" {
            let head =
                format!("HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let attempt = req.header("attempt-id").unwrap_or("none").to_owned();
        let run = Run {
            attempt: attempt.clone(),
            replica: self.id.clone(),
            tenant: req.header("tenant").map(str::to_owned),
            begun: Instant::now(),
            is_answered: false,
        };
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        if matches!(self.work, Work::Plain) && req.text().contains(DEADLY) {
            self.record
                .line(&format!("replica {} begins to run deadly request {attempt}", self.id));
            std::thread::sleep(Duration::from_millis(40));
            self.crash();
            return false;
        }
        let is_answered = match self.work {
            Work::Stream { events, lost } => self.stream(req, &attempt, events, lost, 10, writer),
            Work::Versioned { events } => self.stream(req, &attempt, events, 0, 50, writer),
            _ => {
                let body = "done";
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                );
                writer.write_all(head.as_bytes()).is_ok()
            }
        };
        self.runs.lock().unwrap()[number].is_answered = is_answered;
        is_answered
    }

    fn stream(
        &self,
        req: &Message,
        attempt: &str,
        events: u64,
        lost: u64,
        pause_ms: u64,
        writer: &mut TcpStream,
    ) -> bool {
        let draw = hash(&format!("{attempt}/{}", self.id));
        // Of the lost answers, one half ends before the head, the other half after some events.
        let is_lost = draw % 1_000 < lost && LOSES_ANSWERS.load(Ordering::SeqCst);
        let ends_after = is_lost.then(|| match draw / 1_000 % 2 {
            0 => 0,
            _ => 1 + draw / 2_000 % (events - 1),
        });
        let first =
            req.header("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) + 1;
        std::thread::sleep(Duration::from_millis(20));
        if ends_after == Some(0) {
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for (sent, event) in (first..=events).enumerate() {
            if ends_after == Some(sent as u64) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(pause_ms));
            let text = format!("id: {event}\ndata: {}-{event}\n\n", self.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// FNV-1a with a final mix.
pub fn hash(text: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 31;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
