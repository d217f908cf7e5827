//! A small deployment on loopback addresses, and stand-ins for the platform around it: the operator, clients and
//! replicas. Uses the standard library only.

#![allow(dead_code)]

use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit status of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

const PEER_PORT: u16 = 7740;
const LISTEN_PORT: u16 = 7741;
const FRONTEND_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const CONTROL_PORT: u16 = 8628;
const REPLICA_PORT: u16 = 8080;

/// The key of the only tenant.
pub const API_KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const HOSTNAME: &str = "pule25.example";

/// Returns whether the disruption takes place: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Ends the case because it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    // The processes are ended by `run.sh`, which knows their ids.
    std::process::exit(CANNOT_RUN);
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// An HTTP message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head announced.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut message = Message { first: first.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a message; `complete` is false if its body was cut.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    message.complete = if is_chunked {
        read_chunks(reader, &mut message.body)
    } else {
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).is_ok()
    };
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    addr: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut out = stream.try_clone().ok()?;
    out.write_all(&encode_request(first, headers, body)).ok()?;
    read_message(&mut BufReader::new(stream))
}

pub fn encode_request(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// What a host of the system does.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Role {
    Control,
    Entry,
}

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub role: Role,
    pub config: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONTEND_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CONTROL_PORT)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns how the process ended; none while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the resident memory of the process in MB.
    pub fn memory_mb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    fn spawn(&mut self, repo: &Path, pids: &Path) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/masticstaird")
            .args(["run", "--config"])
            .arg(&self.config)
            .current_dir(repo)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("masticstaird: {e}")));
        let mut file = OpenOptions::new().create(true).append(true).open(pids).unwrap();
        let _ = writeln!(file, "{}", child.id());
        self.child = Some(child);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }
}

/// The hosts of the system. Their processes end when it is dropped.
pub struct Deployment {
    pub hosts: Vec<Host>,
    pub folder: PathBuf,
    repo: PathBuf,
    base: [u8; 2],
    next_replica: u8,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
    }
}

impl Deployment {
    /// Starts control hosts and entry hosts as at the first start of the whole system. `LAB_FOLDER` is a temporary
    /// folder, and the current folder the root of the repository.
    pub fn start(controls: usize, entries: usize) -> Self {
        let folder = PathBuf::from(std::env::var("LAB_FOLDER").unwrap_or_default());
        if !folder.is_dir() {
            cannot_run("LAB_FOLDER is no folder");
        }
        let repo = std::env::current_dir().unwrap();
        let base = free_base();
        let ip = |n: usize| Ipv4Addr::new(127, base[0], base[1], 10 + n as u8);
        let mut hosts = Vec::new();
        for n in 0..controls + entries {
            let role = if n < controls { Role::Control } else { Role::Entry };
            let kind = if role == Role::Control { "core" } else { "edge" };
            let zone = zone(n);
            let name = format!("{kind}-{zone}-{n}");
            let (config, log) =
                (folder.join(format!("{name}.toml")), folder.join(format!("{name}.log")));
            hosts.push(Host { name, ip: ip(n), zone, role, config, log, child: None });
        }
        let seeds: Vec<_> = hosts.iter().take(controls.min(3)).map(Host::control).collect();
        let mut deployment = Self { hosts, folder, repo, base, next_replica: 0 };
        for n in 0..deployment.hosts.len() {
            deployment.write_settings(n, &seeds, true);
            deployment.start_host(n);
        }
        deployment
    }

    pub fn start_host(&mut self, n: usize) {
        let (repo, pids) = (self.repo.clone(), self.folder.join("pids"));
        self.hosts[n].spawn(&repo, &pids);
    }

    /// Writes the settings as `deploy/settings.toml` gives them.
    fn write_settings(&self, n: usize, seeds: &[SocketAddr], bootstrap: bool) {
        let host = &self.hosts[n];
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let ip = host.ip;
        let (data, listen, memory) = match host.role {
            Role::Control => {
                let data = self.folder.join(format!("data-{}", host.name));
                (
                    format!("data_folder = {data:?}\n"),
                    format!("control_listen = \"{ip}:{CONTROL_PORT}\"\n"),
                    256,
                )
            }
            Role::Entry => (
                String::new(),
                format!(
                    "listen = \"{ip}:{FRONTEND_PORT}\"\nready_listen = \"{ip}:{READY_PORT}\"\n"
                ),
                260,
            ),
        };
        let text = format!(
            "deployment = \"platform\"\nhost = \"{}\"\nregion = \"ee-north\"\ndata_centre = \"{}\"\n\
             listen = \"{ip}:{LISTEN_PORT}\"\npeer_listen = \"{ip}:{PEER_PORT}\"\nseeds = [{}]\n\
             seed_port = {PEER_PORT}\nform_from_seeds = {bootstrap}\ndisk_losses = 1\n\
             replace_voter_after_ms = 2500\ndrain_notice_ms = 0\n{data}descriptors = 4096\n\
             [gateway]\n{listen}heartbeat_ms = 1200\ngrace_ms = 8000\nrepeat_ratio = 0.2\n\
             repeat_allowance = 54\nrepeat_window_ms = 10000\nmemory_mb = {memory}\n",
            host.name,
            host.zone,
            seeds.join(", ")
        );
        // A process that reads the file meanwhile gets the old or the new one.
        let new = host.config.with_extension("new");
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &host.config));
        written.unwrap_or_else(|e| cannot_run(&format!("settings: {e}")));
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.hosts.iter().filter(|h| h.role == Role::Control).map(Host::control).collect()
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        self.hosts.iter().filter(|h| h.role == Role::Entry).map(Host::frontend).collect()
    }

    /// Returns an unused address for a replica.
    pub fn replica_address(&mut self) -> SocketAddr {
        self.next_replica += 1;
        let ip = Ipv4Addr::new(127, self.base[0], self.base[1], 100 + self.next_replica);
        SocketAddr::new(IpAddr::V4(ip), REPLICA_PORT)
    }

    /// Submits a manifest until it is acknowledged, as the operator does.
    pub fn submit(&self, manifest: &str) {
        let controls = self.controls();
        let until = Instant::now() + Duration::from_secs(20);
        let mut n = 0;
        while Instant::now() < until {
            let to = controls[n % controls.len()];
            n += 1;
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let sent = call(
                to,
                "POST /v1/Config.Replace",
                &headers,
                manifest.as_bytes(),
                Duration::from_secs(1),
            );
            match sent.map_or(0, |m| m.status()) {
                200 => {
                    // At a later start the system is not new.
                    let seeds: Vec<_> = controls.iter().take(3).copied().collect();
                    (0..self.hosts.len()).for_each(|n| self.write_settings(n, &seeds, false));
                    return;
                }
                400..=428 => cannot_run("the manifest was refused"),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        cannot_run("the manifest was not acknowledged within 20 s");
    }

    /// Waits until all entry hosts are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        for host in self.hosts.iter().filter(|h| h.role == Role::Entry) {
            let addr = SocketAddr::new(IpAddr::V4(host.ip), READY_PORT);
            let is_ready = || {
                let headers = [("Host", "platform")];
                let answer = call(addr, "GET /v1/readyz", &headers, b"", Duration::from_secs(1));
                answer.is_some_and(|m| m.status() == 200)
            };
            while !is_ready() {
                if Instant::now() > until {
                    cannot_run("the entry hosts are not ready within 20 s");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

pub fn zone(n: usize) -> String {
    format!("tln-{}", ["a", "b", "c", "d"][n % 4])
}

/// Returns the second and third byte of loopback addresses whose ports are free.
fn free_base() -> [u8; 2] {
    let pid = std::process::id();
    for attempt in 0..200_u32 {
        let seed = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt * 40_503);
        let base = [64 + (seed >> 8) as u8 % 128, (seed >> 16) as u8];
        let is_free = (10..22_u8).chain(100..130).all(|last| {
            let ip = Ipv4Addr::new(127, base[0], base[1], last);
            let ports =
                [PEER_PORT, LISTEN_PORT, FRONTEND_PORT, READY_PORT, CONTROL_PORT, REPLICA_PORT];
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return base;
        }
    }
    cannot_run("no free loopback addresses");
}

/// Handles one connection of a replica.
pub type Serve = Arc<dyn Fn(TcpStream) + Send + Sync>;

/// A replica that reports `ready` every 1.2 s, to one control host until a report fails there.
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        capacity: u32,
        addr: SocketAddr,
        controls: Vec<SocketAddr>,
        serve: Serve,
    ) -> Self {
        let listener =
            TcpListener::bind(addr).unwrap_or_else(|e| cannot_run(&format!("replica {addr}: {e}")));
        let stopped = Arc::new(AtomicBool::new(false));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        let replica = Self { id: id.to_owned(), addr, stopped: stopped.clone() };
        let born = unix_ms();
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            let (mut sequence, mut to) = (0, addr.port() as usize + id.len());
            while !stopped.load(Ordering::Relaxed) {
                sequence += 1;
                let body = format!(
                    r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","capacity":{capacity},"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#
                );
                let first = format!("POST /v1/Replicas.Heartbeat/{id}");
                let headers = [("Host", "control"), ("Content-Type", "application/json")];
                let sent = call(
                    controls[to % controls.len()],
                    &first,
                    &headers,
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if sent.is_none_or(|m| m.status() != 200) {
                    to += 1;
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        replica
    }

    pub fn stop_reports(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Returns a new id of 16 hexadecimal digits.
pub fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let mut x = count.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
    x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", x ^ (x >> 29))
}

/// A small generator of pseudo-random numbers, the same for the same seed.
pub struct Draws(u64);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the strings in a JSON text that follow `"name":"`.
pub fn json_strings(text: &str, name: &str) -> Vec<String> {
    let key = format!("\"{name}\":\"");
    text.split(&key).skip(1).filter_map(|r| r.split('"').next()).map(str::to_owned).collect()
}
