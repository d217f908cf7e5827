//! Daemon of masticstair.

mod options;

use masticstair_host::daemon::run;
use masticstair_host::settings::Settings;
use std::process::ExitCode;

use options::{Command, parse_options};

fn main() -> ExitCode {
    match execute(parse_options()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("masticstaird: {e}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Run { config } => run(Settings::load(&config)?)?,
        Command::Check { config } => {
            let cfg = Settings::load(&config)?;
            for warning in cfg.warnings() {
                println!("warning: {warning}");
            }
            println!("{}: settings of host {} are valid", config.display(), cfg.host);
        }
    }
    Ok(())
}
