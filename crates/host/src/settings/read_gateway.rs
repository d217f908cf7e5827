//! Reads the table of the gateway.

use masticstair_core::prelude::*;
use masticstair_core::toml_reader::TomlReader;
use masticstair_gateway::GatewayConfig;

/// Endpoints announce themselves about every second unless the deployment says otherwise.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

/// The usual time from SIGTERM to SIGKILL.
const DEFAULT_GRACE_MS: u64 = 8_000;

/// One repeat for five requests.
const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// The span in which repeats are counted.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;

/// Reads the table `gateway`; a host without it has no gateway.
pub(super) fn read_gateway(r: &TomlReader<'_>) -> Option<Option<GatewayConfig>> {
    r.optional_table("gateway", read_table)
}

fn read_table(r: &TomlReader<'_>) -> Option<GatewayConfig> {
    let listen = r.optional_text("listen");
    let ready_listen = r.optional_text("ready_listen");
    let control_listen = r.optional_text("control_listen");
    let heartbeat = r.number_or("heartbeat_ms", 10..=600_000, DEFAULT_HEARTBEAT_MS);
    let grace = r.number_or("grace_ms", 0..=3_600_000, DEFAULT_GRACE_MS);
    let ratio = r.ratio_or("repeat_ratio", DEFAULT_RETRY_RATIO);
    let allowance = r.ratio_or("repeat_allowance", 0.0);
    let window = r.number_or("repeat_window_ms", 100..=3_600_000, DEFAULT_RETRY_WINDOW_MS);
    let cfg = GatewayConfig {
        listen: listen?,
        ready_listen: ready_listen?,
        control_listen: control_listen?,
        heartbeat: Millis::new(heartbeat?),
        grace: Millis::new(grace?),
        retry_ratio: ratio?,
        retry_allowance: allowance?,
        retry_window: Millis::new(window?),
    };
    if cfg.listen.is_none() && cfg.control_listen.is_none() {
        r.reject("listen", "missing", "listen, control_listen or both");
    }
    Some(cfg)
}
