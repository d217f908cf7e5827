//! The hosts of a small deployment, and the platform that starts them.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// Writes `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} s  {text}", at / 1000, at % 1000);
    }
}

pub type Processes = Arc<Mutex<Vec<(String, Child)>>>;

/// Ends all processes that were started.
pub fn end_all(processes: &Processes) {
    for (_, child) in processes.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ports of one machine, from the first one on: peers, the product's own interface, control plane, clients, readiness,
/// replicas.
const PORTS: u16 = 6;

pub struct Deployment {
    pub record: Record,
    pub processes: Processes,
    pub temporary: PathBuf,
    subnet: (u8, u8),
    port: u16,
    seeds: u8,
}

impl Deployment {
    pub fn new(folder: PathBuf) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now() };
        let pid = std::process::id();
        let temporary = std::env::temp_dir().join(format!("masticstair-review-3-{pid}"));
        std::fs::create_dir_all(&temporary)?;
        let subnet = (64 + (pid % 180) as u8, (pid / 180 % 250) as u8);
        let mut deployment =
            Self { record, processes: Processes::default(), temporary, subnet, port: 0, seeds: 3 };
        let is_free = |port: u16| {
            (1..=45).all(|n| {
                (port..port + PORTS)
                    .all(|p| TcpListener::bind(SocketAddr::new(deployment.ip(n), p)).is_ok())
            })
        };
        let first = 21_000 + (pid % 800) as u16 * 10;
        let Some(port) = (0..50).map(|n| first + n * 20).find(|port| is_free(*port)) else {
            return Err(std::io::Error::other("no free ports"));
        };
        deployment.port = port;
        Ok(deployment)
    }

    fn ip(&self, machine: u8) -> IpAddr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, machine).into()
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.port + port)
    }

    /// The address of a control host for operators and replicas; control hosts are numbered from 1.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(number, 2)
    }

    /// The address of an entry host for clients; entry hosts are numbered from 1.
    pub fn entry(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 3)
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 4)
    }

    pub fn replica(&self, number: u8) -> SocketAddr {
        self.address(30 + number, 5)
    }

    /// Starts a control host with the settings that `deploy/settings.toml` yields.
    pub fn start_control(&self, number: u8, bootstrap: bool) -> Result<(), String> {
        let data = self.temporary.join(format!("data-{number}"));
        let folder = format!("data_folder = \"{}\"\n", data.display());
        let listen = format!("control_listen = \"{}\"\n", self.control(number));
        self.start(&format!("core-{number}"), number, bootstrap, &folder, 4096, &listen, 256)
    }

    /// Starts an entry host.
    pub fn start_entry(&self, number: u8, bootstrap: bool) -> Result<(), String> {
        let listen = format!(
            "listen = \"{}\"\nready_listen = \"{}\"\n",
            self.entry(number),
            self.ready(number)
        );
        self.start(&format!("edge-{number}"), 20 + number, bootstrap, "", 4100, &listen, 260)
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &self,
        name: &str,
        machine: u8,
        bootstrap: bool,
        folder: &str,
        descriptors: u32,
        listen: &str,
        memory_mb: u32,
    ) -> Result<(), String> {
        let seeds: Vec<_> = (1..=self.seeds).map(|n| format!("\"{}\"", self.control(n))).collect();
        let zone = ["a", "b", "c", "d"][usize::from(machine) % 4];
        let settings = format!(
            "deployment = \"platform\"\nhost = \"{name}\"\nregion = \"north\"\ndata_centre = \"zone-{zone}\"\n\
             listen = \"{}\"\npeer_listen = \"{}\"\nseeds = [{}]\nseed_port = {}\nform_from_seeds = {bootstrap}\n\
             disk_losses = 1\nreplace_voter_after_ms = 2500\ndrain_notice_ms = 0\n{folder}descriptors = {descriptors}\n\
             [gateway]\n{listen}heartbeat_ms = 1200\ngrace_ms = 8000\nrepeat_ratio = 0.2\nrepeat_allowance = 54\n\
             repeat_window_ms = 10000\nmemory_mb = {memory_mb}\n",
            self.address(machine, 1),
            self.address(machine, 0),
            seeds.join(","),
            self.port,
        );
        let file = self.temporary.join(format!("{name}.toml"));
        std::fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.temporary.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new("target/release/masticstaird")
            .args(["run", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start masticstaird: {e}"))?;
        self.record
            .line(&format!("{name} started (process {}, bootstrap {bootstrap})", child.id()));
        self.processes.lock().unwrap().push((name.to_owned(), child));
        Ok(())
    }

    /// Sends a manifest, as the operator does: to one control host after the other until one confirms it.
    pub fn send_manifest(
        &self,
        manifest: &str,
        controls: u8,
        limit: Duration,
    ) -> Result<(), String> {
        let until = Instant::now() + limit;
        let mut last = "not sent".to_owned();
        let version: String = manifest.chars().take(14).collect();
        while Instant::now() < until {
            for number in 1..=controls {
                let headers = [("Content-Type", "application/json".to_owned())];
                let sent = http::call(
                    self.control(number),
                    "POST",
                    "/v1/Config.Replace",
                    &headers,
                    manifest.as_bytes(),
                    Duration::from_secs(1),
                );
                last = match sent {
                    Ok(answer) if answer.status() == 200 => {
                        self.record.line(&format!("manifest {version} confirmed by core-{number}"));
                        return Ok(());
                    }
                    Ok(answer) => format!("{} {}", answer.status(), answer.text().trim()),
                    Err(reason) => reason,
                };
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("manifest {version} was not confirmed; last answer: {last}"))
    }

    /// Waits until an entry host says that it is ready.
    pub fn wait_ready(&self, number: u8, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let asked = http::call(
                self.ready(number),
                "GET",
                "/v1/readyz",
                &[],
                &[],
                Duration::from_secs(1),
            );
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("edge-{number} did not become ready"))
    }
}
