use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// The command of the daemon's command line.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run a host until it is signalled to stop.
    Run {
        /// The settings file.
        config: PathBuf,
    },
    /// Check settings files without running a host.
    Check {
        /// The settings files of one or more hosts of a deployment.
        configs: Vec<PathBuf>,
    },
}

/// Parses the arguments of the process. Prints help or an error and exits if the arguments ask for help or
/// are invalid.
pub(crate) fn parse_options() -> Command {
    options().run()
}

fn options() -> OptionParser<Command> {
    let run = construct!(Command::Run { config() })
        .to_options()
        .descr("Runs a host until SIGTERM; requests in flight are finished first")
        .command("run");
    let configs = config().some("at least one --config is needed");
    let check = construct!(Command::Check { configs })
        .to_options()
        .descr("Checks settings files, each by itself and all together, and prints every error and warning")
        .command("check");
    construct!([run, check])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves multi-stage model pipelines on one host")
}

fn config() -> impl Parser<PathBuf> {
    long("config").short('c').help("Settings file of the host (TOML)").argument("FILE")
}
