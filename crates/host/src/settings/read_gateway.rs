//! Reads the `gateway` table of a settings file.

use masticstair_core::prelude::*;
use masticstair_core::toml_reader::TomlReader;
use masticstair_gateway::GatewayConfig;

/// The usual interval between two heartbeats of an endpoint.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

/// The usual time that the platform leaves between SIGTERM and SIGKILL.
const DEFAULT_GRACE_MS: u64 = 8_000;

/// One retry per five requests.
const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// The period over which requests and retries are counted.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;

/// A cold endpoint gets the rate that it bears.
const DEFAULT_COLD_OVERAGE: f64 = 1.0;

/// Reads the optional table `gateway`; the inner `None` means that the host runs no gateway.
pub(super) fn read_gateway(r: &TomlReader<'_>) -> Option<Option<GatewayConfig>> {
    r.optional_table("gateway", read_table)
}

fn read_table(r: &TomlReader<'_>) -> Option<GatewayConfig> {
    let listen = r.optional_text("listen");
    let ready_listen = r.optional_text("ready_listen");
    let control_listen = r.optional_text("control_listen");
    let heartbeat = r.number_or("heartbeat_ms", 10..=600_000, DEFAULT_HEARTBEAT_MS);
    let grace = r.number_or("grace_ms", 0..=3_600_000, DEFAULT_GRACE_MS);
    let ratio = r.non_negative_or("repeat_ratio", DEFAULT_RETRY_RATIO);
    let allowance = r.non_negative_or("repeat_allowance", 0.0);
    let window = r.number_or("repeat_window_ms", 100..=3_600_000, DEFAULT_RETRY_WINDOW_MS);
    let cold_overage = r.non_negative_or("cold_overage", DEFAULT_COLD_OVERAGE);
    let cold_allowance = r.non_negative_or("cold_allowance", 0.0);
    let memory_mb = r.number_or("memory_mb", 0..=1 << 24, 0);
    let cfg = GatewayConfig {
        listen: listen?,
        ready_listen: ready_listen?,
        control_listen: control_listen?,
        heartbeat: Millis::new(heartbeat?),
        grace: Millis::new(grace?),
        retry_ratio: ratio?,
        retry_allowance: allowance?,
        retry_window: Millis::new(window?),
        cold_overage: cold_overage?,
        cold_allowance: cold_allowance?,
        memory: memory_mb.filter(|mb| *mb > 0).map(|mb| ByteCount::new(mb << 20)),
    };
    if cfg.listen.is_none() && cfg.control_listen.is_none() {
        r.reject("listen", "missing", "listen, control_listen or both");
    }
    Some(cfg)
}
