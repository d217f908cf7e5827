//! `masticstair key`.

use std::process::ExitCode;

use super::AdminError;
use super::output::print_text;
use crate::operator::OperatorKey;
use crate::options::KeyCommand;

/// Makes or shows a key.
///
/// # Errors
///
/// Fails when a file exists already, or cannot be read or written.
pub fn run_key(command: KeyCommand) -> Result<ExitCode, AdminError> {
    let key = match command {
        KeyCommand::New { signer, out } => {
            let key = OperatorKey::generate(signer);
            key.save(&out)?;
            eprintln!("Wrote {}; keep it secret. List the key as:", out.display());
            key
        }
        KeyCommand::Show { file } => OperatorKey::load(&file)?,
    };
    print_text(&listing(&key))?;
    Ok(ExitCode::SUCCESS)
}

/// The table of a bundle; settings have the same one under `operators`.
fn listing(key: &OperatorKey) -> String {
    format!(
        "[[signers]]\nname = \"{}\"\nkey = \"{}\"\nmay = [\"submit\", \"sign-off\", \"roll\"]\n",
        key.signer,
        key.public()
    )
}
