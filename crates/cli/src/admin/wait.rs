//! Waits until every live host reports a revision.

use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{HostStatus, STATUS_PATH, StatusReport};
use std::time::{Duration, Instant};

use super::{AdminClient, AdminError, format_lagging};

/// How often the hosts are looked at; a host surveys the others at most as often.
const INTERVAL: Duration = Duration::from_millis(250);

/// Waits and prints when the set of hosts that lag changes.
///
/// # Errors
///
/// `Lagging` with the hosts that did not report the revision in time.
pub(super) async fn wait_for_hosts(
    client: &AdminClient,
    revision: Revision,
    limit: Millis,
) -> Result<usize, AdminError> {
    let started = Instant::now();
    let mut printed = String::new();
    loop {
        let seen = client.read::<StatusReport>(STATUS_PATH).await;
        let lagging = match &seen {
            Ok(report) => {
                let lagging: Vec<_> = report.hosts.iter().filter(|h| lags(h, revision)).collect();
                if lagging.is_empty() && !report.hosts.is_empty() {
                    return Ok(report.hosts.len());
                }
                format_lagging(&lagging)
            }
            Err(e) => format!("  no status: {e}\n"),
        };
        if started.elapsed() >= limit.duration() {
            return Err(AdminError::Lagging { revision, limit, lagging: lagging.into() });
        }
        if lagging != printed {
            eprint!("waiting for revision {revision}:\n{lagging}");
            printed = lagging;
        }
        monoio::time::sleep(INTERVAL).await;
    }
}

fn lags(host: &HostStatus, revision: Revision) -> bool {
    host.revision.is_none_or(|held| held < revision)
}
