//! Options of `masticstair explain`.

use bpaf::{Parser, construct, long, positional};
use std::path::PathBuf;
use std::time::Duration;

/// What `masticstair explain` looks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainOptions {
    /// How much before and after the request the lines of its endpoints are shown.
    pub around: Duration,
    /// The id of the request.
    pub request: Box<str>,
    /// Files with the log lines of hosts.
    pub logs: Vec<PathBuf>,
}

pub(super) fn explain() -> impl Parser<ExplainOptions> {
    let around = long("around-ms")
        .help("Also shows the lines of its endpoints up to this many milliseconds before and after")
        .argument::<u64>("MS")
        .fallback(5_000)
        .display_fallback()
        .map(Duration::from_millis);
    let request = positional::<String>("REQUEST")
        .help("Id of the request, as in the field `request` of the log lines")
        .map(Into::into);
    let logs = positional("LOG")
        .help("File with the log lines of a host (JSON lines); give one for each host")
        .some("at least one LOG is needed");
    construct!(ExplainOptions { around, request, logs })
        .to_options()
        .descr("Follows one request through the logs of several hosts; fails when no line has it")
        .command("explain")
}
