//! `masticstaird`: runs a host, or checks settings files.

mod options;

use masticstair_host::daemon::run;
use masticstair_host::settings::{Settings, cross_check};
use std::error::Error;
use std::path::PathBuf;
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

fn execute(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Run { config } => {
            let cfg = Settings::load(&config)?;
            run(config, cfg, masticstair_platform::front_end())?;
        }
        Command::Check { configs } => check(&configs)?,
    }
    Ok(())
}

/// Checks all files before it reports, so that the errors of every file are printed in one run.
fn check(configs: &[PathBuf]) -> Result<(), Box<dyn Error>> {
    let loaded: Vec<_> = configs.iter().map(|file| (file, Settings::load(file))).collect();
    let mut valid = Vec::new();
    let mut errors = Vec::new();
    for (file, result) in loaded {
        match result {
            Ok(cfg) => {
                println!("{}: settings of host {} are valid", file.display(), cfg.host);
                for warning in cfg.warnings() {
                    println!("{}: warning: {warning}", file.display());
                }
                valid.push(cfg);
            }
            Err(e) => errors.push(e.to_string()),
        }
    }
    for warning in cross_check(&valid) {
        println!("warning: {warning}");
    }
    if errors.is_empty() { Ok(()) } else { Err(errors.join("\n").into()) }
}
