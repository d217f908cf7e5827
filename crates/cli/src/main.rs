//! Command line of masticstair.

use masticstair_cli::commands::execute;
use masticstair_cli::options::parse_options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match parse_options() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match execute(command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("masticstair: {e}");
            e.exit_code()
        }
    }
}
