//! Hosts in the test process, and operators who send them signed requests over HTTP.

#![allow(clippy::unwrap_used, dead_code)]

use ed25519_dalek::{Signer as _, SigningKey};

use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;
use masticstair_host::control::{ControlThread, start_control};
use masticstair_host::daemon::{Workers, start_workers};
use masticstair_host::settings::Settings;
use masticstair_host::state::HostState;
use masticstair_policy::bundle_history::signed_text;
use masticstair_policy::operator_read::signed_read_text;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tempfile::TempDir;

use crate::support::BUNDLE;
use crate::support::loopback::unique_address;

/// The `may` list with all rights, as TOML.
pub const ALL_RIGHTS: &str = "[\"submit\", \"sign-off\", \"roll\"]";

/// An operator whose key is derived from a number.
pub struct Operator {
    pub name: &'static str,
    pub may: &'static str,
    key: SigningKey,
}

impl Operator {
    pub fn new(name: &'static str, number: u8, may: &'static str) -> Self {
        Self { name, may, key: SigningKey::from_bytes(&[number; 32]) }
    }

    /// Returns the TOML table that lists the operator under `key`, for settings or a bundle.
    pub fn table(&self, key: &str) -> String {
        let public = hex::encode(self.key.verifying_key().as_bytes());
        let (name, may) = (self.name, self.may);
        format!("[[{key}]]\nname = \"{name}\"\nkey = \"{public}\"\nmay = {may}\n")
    }

    fn sign(&self, text: &str) -> String {
        hex::encode(self.key.sign(text.as_bytes()).to_bytes())
    }

    /// Returns the signed body of a command without content.
    pub fn command(&self, id: &str, expected: u64, right: Right, digest: &Sha256Digest) -> Value {
        let text = signed_text(
            &"t".parse().unwrap(),
            &id.parse().unwrap(),
            Revision::new(expected),
            &self.name.parse().unwrap(),
            right,
            digest,
        );
        json!({ "command_id": id, "expected_revision": expected, "signer": self.name,
            "signature": self.sign(&text) })
    }

    /// Returns the signed body that submits a content.
    pub fn submission(&self, id: &str, expected: u64, content: &str) -> Value {
        let digest = Sha256Digest::of(content.as_bytes());
        let mut body = self.command(id, expected, Right::Submit, &digest);
        body["content"] = content.into();
        body
    }

    /// Returns the headers of a read signed with a time `off_ms` milliseconds from now.
    pub fn read_headers(&self, target: &str, off_ms: i64) -> Vec<(&'static str, String)> {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        let time = WallTime::new(now.saturating_add_signed(off_ms));
        let (deployment, name) = ("t".parse().unwrap(), self.name.parse().unwrap());
        let text = signed_read_text(&deployment, &name, "GET", target, time);
        vec![
            ("masticstair-signer", self.name.to_owned()),
            ("masticstair-time", time.to_string()),
            ("masticstair-signature", self.sign(&text)),
        ]
    }
}

/// A response with a JSON body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// Sends a request and reads the whole response.
pub fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Answer {
    let mut head = format!("{method} {target} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let body = serde_json::from_str(body).unwrap_or_else(|e| panic!("{e}: {text}"));
    Answer { status, body }
}

/// A host in the test process, used through its admin interface.
pub struct AdminHost {
    pub state: Arc<HostState>,
    pub peer_addr: SocketAddr,
    workers: Option<Workers>,
    control: Option<ControlThread>,
    _folder: TempDir,
}

impl AdminHost {
    /// Starts a host; `settings` holds further lines of its settings. A voter gets a data folder.
    pub fn start(name: &str, voter: bool, settings: &str, operators: &[&Operator]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut text = format!(
            "deployment = \"t\"\nhost = \"{name}\"\nregion = \"r\"\ndata_centre = \"dc1\"\n\
             listen = \"{0}:0\"\npeer_listen = \"{0}:0\"\n{settings}",
            unique_address()
        );
        if voter {
            text.push_str(&format!("data_folder = {:?}\n", folder.path().display().to_string()));
        }
        operators.iter().for_each(|operator| text.push_str(&operator.table("operators")));
        let (state, control, workers) = start_threads(&text);
        let peer_addr = control.peer_addr;
        let (workers, control) = (Some(workers), Some(control));
        Self { state, peer_addr, workers, control, _folder: folder }
    }

    /// Starts the only voter of a deployment and waits until it leads.
    pub fn single(operators: &[&Operator]) -> Self {
        let host = Self::start("h1", true, "initial_voters = [\"h1\"]\n", operators);
        host.wait_for(operators[0], |status| status["confirmed"] == true);
        host
    }

    pub fn addr(&self) -> SocketAddr {
        self.workers.as_ref().unwrap().addr
    }

    pub fn post(&self, target: &str, body: &Value) -> Answer {
        send(self.addr(), "POST", target, &[], &body.to_string())
    }

    pub fn get(&self, operator: &Operator, target: &str) -> Answer {
        send(self.addr(), "GET", target, &operator.read_headers(target, 0), "")
    }

    /// Polls the status until `wanted` accepts it, up to 10 s.
    pub fn wait_for(&self, operator: &Operator, wanted: impl Fn(&Value) -> bool) -> Value {
        let started = Instant::now();
        loop {
            let answer = self.get(operator, "/v1/status");
            if answer.status == 200 && wanted(&answer.body) {
                return answer.body;
            }
            assert!(started.elapsed() < Duration::from_secs(10), "{answer:#?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Submits, signs off and rolls a content while `expected` is the revision in force.
    pub fn roll(&self, operator: &Operator, expected: u64, content: &str) -> Sha256Digest {
        let digest = Sha256Digest::of(content.as_bytes());
        let submitted = operator.submission(&format!("submit-{expected}"), expected, content);
        let answer = self.post("/v1/bundles", &submitted);
        assert_eq!(answer.status, 200, "{answer:?}");
        for (step, right) in [("sign-off", Right::SignOff), ("roll", Right::Roll)] {
            let body = operator.command(&format!("{step}-{expected}"), expected, right, &digest);
            let answer = self.post(&format!("/v1/bundles/{digest}/{step}"), &body);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        digest
    }
}

/// Starts the threads of a host.
fn start_threads(settings: &str) -> (Arc<HostState>, ControlThread, Workers) {
    let cfg = Settings::parse(settings).unwrap();
    let state = Arc::new(HostState::new(cfg, slog::Logger::root(slog::Discard, slog::o!())));
    let control = start_control(&state).unwrap();
    let workers = start_workers(&state).unwrap();
    (state, control, workers)
}

impl Drop for AdminHost {
    fn drop(&mut self) {
        self.state.drain.leave();
        self.workers.take().into_iter().for_each(Workers::stop);
        self.control.take().into_iter().for_each(ControlThread::stop);
    }
}

/// Returns the test bundle with another version and with signers.
pub fn bundle(version: &str, signers: &[&Operator]) -> String {
    let mut text = BUNDLE.replacen("version = \"1\"", &format!("version = \"{version}\""), 1);
    signers.iter().for_each(|operator| text.push_str(&operator.table("signers")));
    text
}
