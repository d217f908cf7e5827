//! A cluster of host processes, with endpoints and an operator in the test process.

use masticstair_core::id::ReplicaId;
use masticstair_host::control::{ControlThread, LeaderStatus, VoterProgress, start_control};
use masticstair_host::settings::Settings;
use masticstair_host::state::HostState;
use masticstair_standins::CallLog;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tempfile::TempDir;

use super::endpoints::start_endpoints;
use super::http::{HttpAnswer, get, post};
use super::loopback::unique_address;
use super::operator;

/// The number of voters; they are the first hosts of a cluster.
pub const VOTERS: usize = 3;

/// A host process.
pub struct HostProcess {
    pub addr: SocketAddr,
    pub settings: std::path::PathBuf,
    pub child: Option<Child>,
}

/// A running cluster; the processes are killed when it is dropped.
pub struct Cluster {
    pub hosts: Vec<HostProcess>,
    pub log: CallLog,
    pub observer: Arc<HostState>,
    _control: ControlThread,
    _folder: TempDir,
    /// The last field, so that it is released after the processes have ended.
    _cluster_lock: MutexGuard<'static, ()>,
}

/// Ensures that one cluster runs at a time. The time bounds of the tests hold for one cluster; several would
/// compete for the processors.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

impl Cluster {
    /// Starts `count` hosts in four data centres, puts the test bundle in force and starts endpoints.
    pub fn start(count: usize) -> Self {
        // A failed test poisons the lock but leaves no state that the next one uses.
        let cluster_lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = tempfile::tempdir().unwrap();
        let ports: Vec<(SocketAddr, SocketAddr)> =
            (0..count).map(|_| (free_addr(), free_addr())).collect();
        let seeds = format!("seeds = [\"{}\", \"{}\"]\n", ports[0].1, ports[1].1);
        let operators = operator::settings();
        let mut hosts = Vec::new();
        for (i, (addr, peer)) in ports.iter().enumerate() {
            let mut text = format!(
                "deployment = \"t\"\nhost = \"h{i}\"\nregion = \"r\"\ndata_centre = \"dc{}\"\n\
                 listen = \"{addr}\"\npeer_listen = \"{peer}\"\ndrain_notice_ms = 100\n\
                 log_level = \"warning\"\n{seeds}",
                i % 4
            );
            if i < VOTERS {
                let data = folder.path().join(format!("data{i}"));
                text.push_str("initial_voters = [\"h0\", \"h1\", \"h2\"]\n");
                text.push_str(&format!("data_folder = {:?}\n", data.display().to_string()));
            }
            text.push_str(&operators);
            let settings = folder.path().join(format!("h{i}.toml"));
            std::fs::write(&settings, text).unwrap();
            hosts.push(HostProcess { addr: *addr, settings, child: None });
        }
        let (observer, control) = start_observer(&seeds, &operators);
        let log = CallLog::default();
        let mut cluster = Self {
            hosts,
            log,
            observer,
            _control: control,
            _folder: folder,
            _cluster_lock: cluster_lock,
        };
        (0..count).for_each(|i| cluster.start_host(i));
        cluster.roll(super::BUNDLE, 0);
        let addrs = cluster.hosts.iter().map(|h| h.addr).collect();
        start_endpoints(addrs, cluster.log.clone());
        (0..count).for_each(|i| cluster.wait_ready(i, 1, Duration::from_secs(10)));
        cluster.wait_endpoints();
        cluster
    }

    /// Starts a host process.
    pub fn start_host(&mut self, i: usize) {
        self.start_after(i, "");
    }

    /// Starts a host process whose disk is full.
    pub fn start_with_full_disk(&mut self, i: usize) {
        self.start_after(i, "ulimit -S -f 0;");
    }

    /// Starts a host process after a shell command. Writes beyond the file size limit fail, as on a full disk,
    /// because the signal that would end the process is ignored.
    fn start_after(&mut self, i: usize, command: &str) {
        let script = format!("trap '' XFSZ; {command} exec \"$0\" run --config \"$1\"");
        let mut shell = std::process::Command::new("sh");
        shell.arg("-c").arg(script).arg(env!("CARGO_BIN_EXE_masticstaird"));
        shell.arg(&self.hosts[i].settings);
        self.hosts[i].child = Some(shell.stderr(Stdio::inherit()).spawn().unwrap());
    }

    /// Makes all writes of a host process to files fail, as on a full disk, or succeed again.
    pub fn set_disk_full(&self, i: usize, is_full: bool) {
        let pid = Pid::from_child(self.hosts[i].child.as_ref().unwrap());
        let current = is_full.then_some(0);
        prlimit(Some(pid), Resource::Fsize, Rlimit { current, maximum: None }).unwrap();
    }

    /// Returns whether a host process still runs.
    pub fn is_running(&mut self, i: usize) -> bool {
        self.hosts[i].child.as_mut().unwrap().try_wait().unwrap().is_none()
    }

    /// Returns the replica of a voter.
    pub fn replica(&self, i: usize) -> ReplicaId {
        let host = format!("h{i}");
        let status = self.leader_status().unwrap();
        status.voters.iter().find(|v| v.host.as_str() == host).unwrap().replica
    }

    /// Waits until all replicas vote and have every entry of the leader, without the replica that was lost with
    /// its disk; panics after `limit`.
    pub fn wait_replicated(&self, lost: Option<ReplicaId>, limit: Duration) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < limit {
            last = self.leader_status();
            let is_replicated = |status: &LeaderStatus| {
                let is_current = |v: &VoterProgress| {
                    v.voter && v.matched == Some(status.last) && Some(v.replica) != lost
                };
                status.voters.len() == VOTERS
                    && !status.changing
                    && status.voters.iter().all(is_current)
            };
            if last.as_ref().is_some_and(is_replicated) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("not every voter has every entry after {limit:?}: {last:?}");
    }

    fn leader_status(&self) -> Option<LeaderStatus> {
        let control = self.observer.control.get().unwrap().clone();
        let status = async { control.leader_status(Duration::from_secs(1)).await };
        masticstair_net::runtime::block_on(status).unwrap().ok()
    }

    /// Deletes the data folder of a host that does not run.
    pub fn remove_data(&self, i: usize) {
        std::fs::remove_dir_all(self._folder.path().join(format!("data{i}"))).unwrap();
    }

    /// Sends a signal to a host process; `signal` is a name such as `TERM`.
    pub fn signal(&self, i: usize, signal: &str) {
        let pid = self.hosts[i].child.as_ref().unwrap().id().to_string();
        let sent = std::process::Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Kills a host process with SIGKILL and reaps it.
    pub fn kill(&mut self, i: usize) {
        let mut child = self.hosts[i].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Submits, signs off and rolls a bundle while `expected` is the revision in force.
    pub fn roll(&self, content: &str, expected: u64) {
        operator::roll(&self.observer, content, expected);
    }

    /// Waits until a host is ready under a revision; panics after `limit`.
    pub fn wait_ready(&self, i: usize, revision: u64, limit: Duration) {
        let started = Instant::now();
        let expected = format!("revision {revision}\n");
        let mut last = String::new();
        while started.elapsed() < limit {
            if let Some(answer) = get(self.hosts[i].addr, "/readyz") {
                if answer.status == 200 && answer.body.ends_with(&expected) {
                    return;
                }
                last = answer.body;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("host {i} is not ready under revision {revision} after {limit:?}: {last}");
    }

    /// Sends a run-once call to the pipeline `order` under an idempotency key.
    pub fn order(&self, i: usize, key: &str, topic: &str) -> Option<HttpAnswer> {
        let headers = [("idempotency-key", key)];
        post(self.hosts[i].addr, "order", &headers, &format!("{{\"topic\":\"{topic}\"}}"))
    }

    /// Returns how often the stand-in service executed the order for a topic.
    pub fn executions(&self, topic: &str) -> usize {
        let records = self.log.records();
        records.iter().filter(|r| r.input["topic"] == topic).count()
    }

    fn wait_endpoints(&self) {
        for i in 0..self.hosts.len() {
            let started = Instant::now();
            while post(self.hosts[i].addr, "draft", &[], "{\"tokens\":1}")
                .is_none_or(|a| a.status != 200)
            {
                assert!(started.elapsed() < Duration::from_secs(10), "host {i} has no endpoints");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Starts a host in the test process that serves no callers, through which the operator sends commands.
fn start_observer(seeds: &str, operators: &str) -> (Arc<HostState>, ControlThread) {
    let text = format!(
        "deployment = \"t\"\nhost = \"observer\"\nregion = \"r\"\ndata_centre = \"dc9\"\n\
         listen = \"{0}:0\"\npeer_listen = \"{0}:0\"\n{seeds}{operators}",
        unique_address()
    );
    let cfg = Settings::parse(&text).unwrap();
    let state = Arc::new(HostState::new(cfg, slog::Logger::root(slog::Discard, slog::o!())));
    let control = start_control(&state).unwrap();
    (state, control)
}

fn free_addr() -> SocketAddr {
    TcpListener::bind((unique_address(), 0)).unwrap().local_addr().unwrap()
}
