use std::net::SocketAddr;
use tempfile::TempDir;

use crate::demo::{DemoError, DemoHost};
use crate::operator::OperatorKey;

/// How a host of a scene is started.
#[derive(Clone, Copy, Debug)]
pub struct HostSize {
    /// Its number; host 0 is the only voter.
    pub number: usize,
    /// Threads that serve callers.
    pub workers: usize,
    /// The peer address of host 0, for the others.
    pub seed: Option<SocketAddr>,
    /// The region, which names the data centre as well.
    pub region: &'static str,
}

/// Starts a host.
///
/// # Errors
///
/// As a host of the demo.
pub fn start_host(size: HostSize) -> Result<DemoHost, DemoError> {
    DemoHost::start_with(|folder, key| settings_text(size, folder, key))
}

fn settings_text(size: HostSize, folder: &TempDir, key: &OperatorKey) -> String {
    let HostSize { number, workers, seed, region } = size;
    let place = match seed {
        None => {
            let folder = folder.path().display().to_string();
            format!("initial_voters = [\"bench-0\"]\ndata_folder = {folder:?}\n")
        }
        Some(seed) => format!("seeds = [\"{seed}\"]\n"),
    };
    format!(
        "deployment = \"bench\"\nhost = \"bench-{number}\"\nregion = \"{region}\"\n\
         data_centre = \"{region}-1\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
         workers = {workers}\n{place}\
         [[operators]]\nname = \"{}\"\nkey = \"{}\"\nmay = [\"submit\", \"sign-off\", \"roll\"]\n",
        key.signer,
        key.public(),
    )
}
