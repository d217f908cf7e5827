//! The command line: every command and option with its help.

mod bundle;
mod change;
mod connection;
mod evacuate;
mod explain;
mod format;
mod key;
mod status;

pub use bundle::BundleCommand;
pub use change::Change;
pub use connection::Connection;
pub use evacuate::EvacuateOptions;
pub use explain::ExplainOptions;
pub use format::{Format, ParseFormatError};
pub use key::KeyCommand;
pub use status::StatusOptions;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};
use masticstair_core::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use thiserror::Error;

use crate::bench::{BenchOptions, SceneName};
use crate::stand_ins::StandInsOptions;

/// What the command line is asked to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make or show a key.
    Key(KeyCommand),
    /// Work with bundles.
    Bundle(BundleCommand),
    /// Show the status.
    Status(StatusOptions),
    /// Evacuate a data centre, or end that.
    Evacuate(EvacuateOptions),
    /// Measure hosts on real connections.
    Bench {
        /// Print JSON instead of a table.
        json: bool,
        /// What is measured.
        options: BenchOptions,
    },
    /// Run the demo.
    Demo {
        /// Print JSON instead of a table.
        json: bool,
    },
    /// Follow a request through logs.
    Explain(ExplainOptions),
    /// Run the endpoints of a deployment.
    StandIns(StandInsOptions),
    /// Make a trace.
    Trace {
        /// Whose callers are imitated.
        deployment: DeploymentProfile,
        /// The same seed gives the same trace.
        seed: u64,
        /// How long the trace is.
        length: Millis,
        /// Requests a second outside bursts.
        rate: RatePerSecond,
    },
    /// Replay a trace.
    Replay {
        /// Print JSON instead of a table.
        json: bool,
        /// The addresses of the hosts.
        targets: Vec<SocketAddr>,
        /// The file with the tokens of the accounts.
        tokens: PathBuf,
        /// The trace.
        trace: PathBuf,
    },
}

/// The deployments whose callers can be imitated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentProfile {
    /// Trepiserv Frantsiis OÜ.
    Trepiserv,
    /// Prairie Gravel Bar Stewardship Council.
    Council,
}

/// The text is no deployment.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected trepiserv or council")]
pub struct ParseDeploymentError;

impl FromStr for DeploymentProfile {
    type Err = ParseDeploymentError;

    fn from_str(s: &str) -> Result<Self, ParseDeploymentError> {
        match s {
            "trepiserv" => Ok(Self::Trepiserv),
            "council" => Ok(Self::Council),
            _ => Err(ParseDeploymentError),
        }
    }
}

/// The width of help and errors in columns.
const WIDTH: usize = 100;

/// Reads the arguments of the process.
///
/// # Errors
///
/// Prints help or a usage error, and returns the exit status that goes with it.
pub fn parse_options() -> Result<Command, ExitCode> {
    options().run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(WIDTH);
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            ParseFailure::Stderr(_) => ExitCode::from(2),
        }
    })
}

/// The parser of the command line.
pub fn options() -> OptionParser<Command> {
    let demo = construct!(Command::Demo { json() })
        .to_options()
        .descr("Runs hosts and stand-ins of both deployments in this process and replays a trace")
        .command("demo");
    let trace = trace_command();
    let replay = replay_command();
    let stand_ins = stand_ins_command();
    let key = key::key().map(Command::Key);
    let bundle = bundle::bundle().map(Command::Bundle);
    let status = status::status().map(Command::Status);
    let evacuate = evacuate::evacuate().map(Command::Evacuate);
    let bench = bench_command();
    let explain = explain::explain().map(Command::Explain);
    construct!([key, bundle, status, evacuate, explain, bench, demo, stand_ins, trace, replay])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates and tries out masticstair, a serving system for model pipelines")
}

fn trace_command() -> impl Parser<Command> {
    let deployment = long("deployment")
        .help("Whose callers are imitated: trepiserv or council")
        .argument("NAME");
    let seed = long("seed")
        .help("Seed of the random numbers; the same seed gives the same trace")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let length = long("length-ms")
        .help("Length of the trace in milliseconds")
        .argument("MS")
        .fallback(Millis::new(6_000))
        .display_fallback();
    let rate = long("rate")
        .help("Requests a second outside bursts, above 0")
        .argument::<RatePerSecond>("RATE")
        .guard(|rate| rate.get() > 0.0, "the rate must be above 0")
        .fallback(RatePerSecond::try_from(40.0).unwrap_or_default())
        .display_fallback();
    construct!(Command::Trace { deployment, seed, length, rate })
        .to_options()
        .descr("Prints a trace as JSON lines")
        .command("trace")
}

fn stand_ins_command() -> impl Parser<Command> {
    let deployment =
        long("deployment").help("Whose pools are served: trepiserv or council").argument("NAME");
    let hosts = long("target")
        .help("Address of a host; give them in the order of their data centres")
        .argument("ADDR")
        .some("at least one --target is needed");
    let data_centres = long("data-centre")
        .help("A data centre; the endpoints of each pool are spread over those given")
        .argument("NAME")
        .some("at least one --data-centre is needed");
    let time = long("time-ms")
        .help("How long the endpoints run, in milliseconds")
        .argument("MS")
        .fallback(Millis::new(60_000))
        .display_fallback();
    let options = construct!(StandInsOptions { deployment, hosts, data_centres, time });
    construct!(Command::StandIns(options))
        .to_options()
        .descr("Runs endpoints for a local trial; fails when a call that must not be repeated ran twice")
        .command("stand-ins")
}

fn replay_command() -> impl Parser<Command> {
    let targets = long("target")
        .help("Address of a host; give one for each host, requests go to them in turn")
        .argument("ADDR")
        .some("at least one --target is needed");
    let tokens = long("tokens")
        .help("TOML file with the bearer token of each account: account = \"token\"")
        .argument("FILE");
    let trace = bpaf::positional("TRACE").help("Trace file (JSON lines)");
    construct!(Command::Replay { json(), targets, tokens, trace })
        .to_options()
        .descr("Replays a trace in open loop; fails when a stated outcome does not come about")
        .command("replay")
}

fn bench_command() -> impl Parser<Command> {
    let seed = long("seed")
        .help("Seed of the requests; the same seed gives the same requests")
        .argument("N")
        .fallback(1)
        .display_fallback();
    let scene = long("scene")
        .help("The only scene to run: overhead, tokens, throughput or faults")
        .argument::<SceneName>("NAME")
        .optional();
    let options = construct!(BenchOptions { seed, scene });
    construct!(Command::Bench { json(), options })
        .to_options()
        .descr("Measures hosts on real loopback connections against the stated targets")
        .command("bench")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON instead of a table").switch()
}
