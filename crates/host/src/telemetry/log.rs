use masticstair_core::prelude::*;
use slog::{Drain, Level, Logger, o};
use std::io::Write;

/// Capacity of the queue to the writer thread; further records are dropped and counted by the library.
const BUFFERED_RECORDS: usize = 8_192;

/// A guard of the logger; it flushes the queued records when it is dropped.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Creates a logger that writes JSON lines from its own thread. Each line holds the host and its data centre;
/// records below `level` are discarded.
pub fn json_logger(
    out: impl Send + Write + 'static,
    level: Level,
    host: &HostId,
    data_centre: &DataCentreId,
) -> (Logger, LogGuard) {
    let json = slog_json::Json::new(out).add_default_keys().build().ignore_res();
    let (drain, guard) =
        slog_async::Async::new(json).chan_size(BUFFERED_RECORDS).build_with_guard();
    let drain = slog::LevelFilter::new(drain, level).ignore_res();
    let values = o!("host" => host.to_string(), "data_centre" => data_centre.to_string());
    (Logger::root(drain, values), LogGuard { _guard: guard })
}
