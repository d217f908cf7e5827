//! Starts a host for tests and sends it requests as a caller.

#![allow(clippy::unwrap_used, dead_code)]

pub mod cluster;
pub mod endpoints;
pub mod http;
pub mod loopback;
pub mod operator;

use masticstair_core::prelude::*;
use masticstair_host::control::{ControlThread, start_control};
use masticstair_host::daemon::{Workers, start_workers};
use masticstair_host::settings::Settings;
use masticstair_host::state::{BundleInForce, HostState};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The token of the only account of `BUNDLE`.
pub const TOKEN: &str = "secret";

/// A bundle with a lookup, a pipeline of two stages and a non-idempotent call.
pub const BUNDLE: &str = r#"
version = "1"
[limits]
hosts = 1
[[models]]
name = "m"
version = "1"
[[pools]]
name = "engines"
kind = "generate"
[[pools]]
name = "encoders"
kind = "encode"
[[services]]
name = "stock"
[[services]]
name = "orders"
[[pipelines]]
name = "lookup"
deadline_ms = 500
max_deadline_ms = 1000
stages = [{ name = "call", kind = "service", pool = "stock" }]
[[pipelines]]
name = "draft"
deadline_ms = 2000
max_deadline_ms = 4000
stages = [
  { name = "encode", kind = "encode", pool = "encoders" },
  { name = "generate", kind = "generate", pool = "engines", model = "m" },
]
[[pipelines]]
name = "order"
deadline_ms = 1000
stages = [{ name = "call", kind = "service", pool = "orders", idempotent = false }]
[[accounts]]
id = "a"
token_sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
rate_per_s = 10000
burst = 10000
concurrency = 1000
"#;

/// A host that runs in the test process.
pub struct TestHost {
    pub state: Arc<HostState>,
    pub control: ControlThread,
    pub workers: Workers,
}

impl TestHost {
    /// Starts a host; `settings` holds further lines of its settings. Without a data folder, the test bundle
    /// is put in force directly as revision 7.
    pub fn start(settings: &str) -> Self {
        let text = format!(
            "deployment = \"t\"\nhost = \"h1\"\nregion = \"r\"\ndata_centre = \"dc1\"\n\
             listen = \"{0}:0\"\npeer_listen = \"{0}:0\"\n{settings}{1}",
            loopback::unique_address(),
            operator::settings()
        );
        let cfg = Settings::parse(&text).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let state = Arc::new(HostState::new(cfg, log));
        let control = start_control(&state).unwrap();
        if state.cfg.data_folder.is_none() {
            let bundle = Arc::new(BUNDLE.parse().unwrap());
            let (revision, signed) = (Revision::new(7), Arc::new([]));
            state.in_force.advance(BundleInForce { revision, bundle, signed });
        }
        let workers = start_workers(&state).unwrap();
        Self { state, control, workers }
    }

    /// Rolls the first bundle through the replicated log.
    pub fn roll_bundle(&self, content: &str) {
        operator::roll(&self.state, content, 0);
    }

    pub fn addr(&self) -> SocketAddr {
        self.workers.addr
    }

    /// Waits until the pools together have `count` endpoints that accept calls.
    pub fn wait_for_endpoints(&self, pools: &[&str], count: usize) {
        let pools: Vec<PoolName> = pools.iter().map(|p| p.parse().unwrap()).collect();
        for _ in 0..200 {
            let known: usize = pools.iter().map(|p| self.state.candidates(p, None).len()).sum();
            if known >= count {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the endpoints did not announce themselves within 2 s");
    }
}

/// Sends raw bytes and returns the response, up to the close of the connection or 3 s without data.
pub fn exchange(addr: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    for part in parts {
        // The host may answer and close before the last part.
        if stream.write_all(part).is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            break;
        }
        buf.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&buf).into_owned()
}

/// Builds a POST request that asks the host to close the connection after the response.
pub fn post(path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
