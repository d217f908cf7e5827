//! Command line of masticstair.

use masticstair_cli::commands::execute;
use masticstair_cli::options::parse_options;
use std::process::ExitCode;

fn main() -> ExitCode {
    match execute(parse_options()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("masticstair: {e}");
            ExitCode::from(2)
        }
    }
}
