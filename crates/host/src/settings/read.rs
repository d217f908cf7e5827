//! Reads and checks the tables of a settings file.

use masticstair_core::bundle::Signer;
use masticstair_core::prelude::*;
use masticstair_core::toml_reader::TomlReader;
use masticstair_net::http::server::{LargeBodyLimit, ServerLimits};
use masticstair_policy::memory_account::MemoryBounds;
use rustix::process::{Resource, getrlimit};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::read_gateway::read_gateway;
use super::{LogLevel, Settings};
use crate::http_api::BUNDLES_PATH;

/// Large enough for the largest content of a bundle as a JSON string with every line break and quote escaped.
const DEFAULT_BUNDLE_BODY_BYTES: u64 = 24 << 20;
/// Bundle bodies that a worker buffers at the same time; operators seldom submit concurrently.
const MAX_CONCURRENT_BUNDLE_BODIES: Slots = Slots::new(2);

/// Long enough for a host to restart before its voter is replaced.
const DEFAULT_REPLACE_VOTER_AFTER_MS: u64 = 60_000;

/// Two of five voters may be lost.
const DEFAULT_DISK_LOSSES: u64 = 2;

/// More voters slow down every commit without tolerating any further failure that occurs in practice.
const MAX_VOTERS: usize = 7;

/// Fewer leave no room for connections beside those between hosts.
const MIN_DESCRIPTORS: u64 = 192;

const MAX_DESCRIPTORS: u64 = 1 << 24;

pub(super) fn read_settings(r: &TomlReader<'_>) -> Option<Settings> {
    let deployment = r.text("deployment");
    let host = r.text("host");
    let region = r.text("region");
    let data_centre = r.text("data_centre");
    let listen = r.text("listen");
    let peer_listen = r.text("peer_listen");
    let peer_address = r.optional_text("peer_address");
    let workers = r.number_or("workers", 1..=256, 1);
    let seeds = read_seeds(r);
    let data_folder = r.optional_text::<PathBuf>("data_folder");
    let initial_voters = r.texts::<HostId>("initial_voters");
    let operators = r.tables("operators", read_operator);
    let bounds = r.table("bounds", read_bounds);
    let request_memory_mb = r.number_or("request_memory_mb", 0..=1 << 24, 0);
    check_request_memory(r, request_memory_mb);
    let descriptors =
        r.number_or("descriptors", MIN_DESCRIPTORS..=MAX_DESCRIPTORS, allowed_descriptors());
    let drain_notice = r.number_or("drain_notice_ms", 0..=600_000, 5_000);
    let log_level = r.text_or("log_level", LogLevel::Info);
    let trace_percent = r.number_or("trace_percent", 0..=100, 1);
    let form_from_seeds = r.flag_or("form_from_seeds", false);
    let disk_losses = r.number_or("disk_losses", 0..=3, DEFAULT_DISK_LOSSES);
    let replace_voter_after =
        r.number_or("replace_voter_after_ms", 500..=3_600_000, DEFAULT_REPLACE_VOTER_AFTER_MS);
    let gateway = read_gateway(r);
    check_voters(r, initial_voters.as_deref().unwrap_or_default());
    Some(Settings {
        deployment: deployment?,
        host: host?,
        region: region?,
        data_centre: data_centre?,
        listen: listen?,
        peer_listen: peer_listen?,
        peer_address: peer_address?,
        workers: workers? as usize,
        seeds: seeds?,
        data_folder: data_folder?,
        initial_voters: initial_voters?,
        operators: operators?,
        bounds: bounds?,
        request_memory: request_memory_mb.filter(|mb| *mb > 0).map(|mb| ByteCount::new(mb << 20)),
        descriptors: Slots::new(descriptors? as u32),
        drain_notice: Millis::new(drain_notice?),
        log_level: log_level?,
        trace_percent: trace_percent? as u8,
        form_from_seeds: form_from_seeds?,
        disk_losses: disk_losses? as usize,
        replace_voter_after: Millis::new(replace_voter_after?),
        gateway: gateway?,
    })
}

/// Returns the descriptors that the operating system allows the process.
fn allowed_descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(MAX_DESCRIPTORS).clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS)
}

/// Reads the seeds. `seed_port` replaces their ports if the listed addresses are those of another listener on
/// the same hosts.
fn read_seeds(r: &TomlReader<'_>) -> Option<Vec<SocketAddr>> {
    let mut seeds = r.texts::<SocketAddr>("seeds")?;
    let port = r.number_or("seed_port", 0..=65_535, 0)? as u16;
    if port != 0 {
        seeds.iter_mut().for_each(|seed| seed.set_port(port));
    }
    Some(seeds)
}

fn check_request_memory(r: &TomlReader<'_>, mb: Option<u64>) {
    let least = MemoryBounds::MIN_TOTAL.get().div_ceil(1 << 20);
    if let Some(mb) = mb.filter(|mb| (1..least).contains(mb)) {
        r.reject("request_memory_mb", mb, format!("at least {least}"));
    }
}

fn check_voters(r: &TomlReader<'_>, voters: &[HostId]) {
    let distinct: HashSet<_> = voters.iter().collect();
    if distinct.len() < voters.len() {
        r.reject("initial_voters", "with a name twice", "each host once");
    }
    if voters.len() > MAX_VOTERS {
        r.reject("initial_voters", format!("of {} hosts", voters.len()), "at most 7 hosts");
    }
}

fn read_operator(r: &TomlReader<'_>) -> Option<Signer> {
    let name = r.text("name");
    let key = r.text("key");
    let may = r.texts("may");
    if may.as_ref().is_some_and(Vec::is_empty) {
        r.reject("may", "[]", "at least one of submit, sign-off and roll");
    }
    Some(Signer { name: name?, key: key?, may: may?.into() })
}

fn read_bounds(r: &TomlReader<'_>) -> Option<ServerLimits> {
    let default = ServerLimits::default();
    let head = r.number_or("head_bytes", 8_192..=1_048_576, default.head.get());
    let head_timeout = r.number_or("head_timeout_ms", 10..=600_000, default.head_timeout.get());
    let body = r.number_or("body_bytes", 1..=1_073_741_824, default.body.get());
    let body_timeout = r.number_or("body_timeout_ms", 10..=600_000, default.body_timeout.get());
    let bundle_body =
        r.number_or("bundle_body_bytes", 1..=1_073_741_824, DEFAULT_BUNDLE_BODY_BYTES);
    let requests = u64::from(default.requests_per_connection.get());
    let requests = r.number_or("requests_per_connection", 1..=1_000_000, requests);
    let connections = u64::from(default.connections.get());
    let connections = r.number_or("connections", 1..=1_000_000, connections);
    Some(ServerLimits {
        head: head?.into(),
        head_timeout: head_timeout?.into(),
        body: body?.into(),
        large_body: Some(LargeBodyLimit {
            path: BUNDLES_PATH,
            max_size: bundle_body?.into(),
            max_concurrent: MAX_CONCURRENT_BUNDLE_BODIES,
        }),
        body_timeout: body_timeout?.into(),
        requests_per_connection: Slots::new(requests? as u32),
        connections: Slots::new(connections? as u32),
    })
}
