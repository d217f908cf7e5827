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
    pub begun: Instant,
}

/// The runs of all replicas, in the order in which they began.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// The path of the request that ends the replicas that run it.
pub const DEADLY: &str = "/stock/deadly";

/// How long a replica runs such a request until it crashes.
pub const RUNS_FOR: Duration = Duration::from_millis(40);

#[derive(Clone)]
pub struct Replica {
    id: String,
    address: SocketAddr,
    runs: Runs,
    record: Record,
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
    runs: &Runs,
) -> Result<(), String> {
    let replica = Replica {
        id: format!("i-{number:02}{:06x}", std::process::id()),
        address: deployment.replica(number),
        runs: runs.clone(),
        record: deployment.record.clone(),
        number,
        service: service.to_owned(),
        controls: (1..=3).map(|n| deployment.control(n)).collect(),
        lifetime: 0,
        has_ended: Arc::default(),
        connections: Arc::default(),
    };
    replica.launch()
}

impl Replica {
    /// Begins to serve and to check in.
    fn launch(&self) -> Result<(), String> {
        let listener = TcpListener::bind(self.address).map_err(|e| e.to_string())?;
        self.record.line(&format!("replica {} of {} started", self.id, self.service));
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
        std::thread::spawn(move || checking_in.check_in());
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
            if let Err(reason) = next.launch() {
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
        self.record.line(&format!("replica {} crashed", self.id));
    }

    /// Checks in about every 1.2 s, with the next control host after a failure.
    fn check_in(&self) {
        let (service, controls) = (&self.service, &self.controls);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let mut at = usize::from(self.address.port()) % controls.len();
        for sequence in 1_u64.. {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":64,\
                 \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                self.address
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
        let run = Run { attempt: attempt.clone(), replica: self.id.clone(), begun: Instant::now() };
        self.runs.lock().unwrap().push(run);
        if req.path() == DEADLY {
            self.record
                .line(&format!("replica {} begins to run deadly request {attempt}", self.id));
            std::thread::sleep(RUNS_FOR);
            self.crash();
            return false;
        }
        let body = "done";
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        writer.write_all(head.as_bytes()).is_ok()
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
