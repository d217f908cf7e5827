//! Three control hosts and some entry hosts as separate processes, started as the deploy file does.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

pub const CONTROL_HOSTS: usize = 3;

pub struct Deployment {
    pub control: Vec<SocketAddr>,
    pub entry: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
    pub processes: Vec<Child>,
    /// The loopback addresses after those of the hosts, for the replicas.
    next_ip: u8,
    subnet: [u8; 2],
    folder: PathBuf,
}

impl Deployment {
    pub fn start(entry_hosts: usize) -> Result<Self, String> {
        let id = std::process::id();
        let subnet = [(id / 250 % 250) as u8 + 2, (id % 250) as u8 + 1];
        let count = CONTROL_HOSTS + entry_hosts;
        let ip = |n: usize| IpAddr::V4(Ipv4Addr::new(127, subnet[0], subnet[1], n as u8 + 10));
        let port = free_ports(count, &ip)?;
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let addr = |n: usize, offset: u16| SocketAddr::new(ip(n), port + offset);
        let seeds: Vec<_> = (0..CONTROL_HOSTS).map(|n| format!("\"{}\"", addr(n, 20))).collect();
        let mut deployment = Self {
            control: (0..CONTROL_HOSTS).map(|n| addr(n, 20)).collect(),
            entry: (CONTROL_HOSTS..count).map(|n| addr(n, 21)).collect(),
            ready: (CONTROL_HOSTS..count).map(|n| addr(n, 22)).collect(),
            processes: Vec::new(),
            next_ip: count as u8 + 10,
            subnet,
            folder: folder.clone(),
        };
        for n in 0..count {
            let (name, zone) = (format!("host-{n}"), ["z-a", "z-b", "z-c"][n % 3]);
            let role = match n < CONTROL_HOSTS {
                true => format!(
                    "data_folder = \"{}\"\n[gateway]\ncontrol_listen = \"{}\"\n",
                    folder.join(format!("data-{n}")).display(),
                    addr(n, 20)
                ),
                false => format!(
                    "[gateway]\nlisten = \"{}\"\nready_listen = \"{}\"\n",
                    addr(n, 21),
                    addr(n, 22)
                ),
            };
            let settings = format!(
                "deployment = \"platform\"\nhost = \"{name}\"\nregion = \"r\"\n\
                 data_centre = \"{zone}\"\nlisten = \"{}\"\npeer_listen = \"{}\"\n\
                 seeds = [{}]\nseed_port = {}\nform_from_seeds = true\ndisk_losses = 1\n\
                 replace_voter_after_ms = 2500\ndrain_notice_ms = 0\n{role}\
                 heartbeat_ms = 1200\ngrace_ms = 8000\nrepeat_ratio = 0.2\n\
                 repeat_allowance = 54\nrepeat_window_ms = 10000\n",
                addr(n, 1),
                addr(n, 0),
                seeds.join(", "),
                port
            );
            let path = folder.join(format!("{name}.toml"));
            fs::write(&path, settings).map_err(|e| e.to_string())?;
            let log =
                File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
            let child = Command::new("target/release/masticstaird")
                .args(["run", "--config"])
                .arg(&path)
                .stdout(Stdio::from(log.try_clone().map_err(|e| e.to_string())?))
                .stderr(Stdio::from(log))
                .spawn()
                .map_err(|e| format!("cannot start masticstaird: {e}"))?;
            deployment.processes.push(child);
        }
        Ok(deployment)
    }

    /// Returns a loopback address that nothing else uses.
    pub fn new_ip(&mut self) -> IpAddr {
        self.next_ip += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.subnet[0], self.subnet[1], self.next_ip))
    }

    /// Sends a manifest until it is acknowledged.
    pub fn replace(&self, manifest: &str) -> Result<(), String> {
        let begun = Instant::now();
        for control in self.control.iter().cycle() {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let path = "POST /v1/Config.Replace";
            match http::call(*control, path, &headers, manifest, Duration::from_secs(1)) {
                Ok(m) if m.status() == 200 => return Ok(record::line("manifest acknowledged")),
                Ok(m) if m.status() < 500 => {
                    return Err(format!("manifest refused: {} {}", m.status(), m.text()));
                }
                _ if begun.elapsed() > Duration::from_secs(15) => break,
                _ => sleep(Duration::from_millis(200)),
            }
        }
        Err("the manifest was not acknowledged".into())
    }

    /// Waits until the load balancer's question gets a 200 from all entry hosts.
    pub fn wait_ready(&self) -> Result<(), String> {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(15) {
            if self.ready.iter().all(|addr| is_ready(*addr)) {
                return Ok(record::line("all entry hosts are ready"));
            }
            sleep(Duration::from_millis(100));
        }
        Err("the entry hosts are not ready".into())
    }
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let answer =
        http::call(addr, "GET /v1/readyz", &[("Host", "lb")], "", Duration::from_millis(900));
    answer.is_ok_and(|m| m.status() == 200)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        match std::env::var("KEEP") {
            Ok(_) => record::line(&format!("logs kept in {}", self.folder.display())),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns a port from which 30 are free on all addresses.
fn free_ports(count: usize, ip: &dyn Fn(usize) -> IpAddr) -> Result<u16, String> {
    let is_free = |port: u16| {
        (0..count).all(|n| (0..30).all(|o| TcpListener::bind((ip(n), port + o)).is_ok()))
    };
    // Below the ports that the system gives to outgoing connections.
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    (0..100).map(|n| first + n * 30).find(|port| is_free(*port)).ok_or("no free ports".into())
}
