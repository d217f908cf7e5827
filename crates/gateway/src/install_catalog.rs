use masticstair_core::id::CatalogVersion;
use slog::{info, warn};
use std::time::Duration;

use crate::Gateway;

/// Time to leave between two catalogs, as a multiple of the time that it took to install the first one.
const PAUSE_FACTOR: u32 = 9;

/// The limit on that time.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Installs a catalog if its version is higher than the current one.
pub(crate) fn install_catalog(gw: &Gateway, version: CatalogVersion, content: &[u8]) {
    if version <= gw.catalog.version() {
        return;
    }
    let started = gw.now();
    match (gw.front_end.read_catalog)(content) {
        Ok((document, catalog)) => {
            let version = document.version;
            let (routes, services) = (catalog.routes.len(), catalog.services.len());
            if gw.catalog.advance(gw.now(), document, catalog) {
                gw.metrics.catalog.set(version.get() as i64);
                info!(gw.log, "new catalog in force"; "version" => %version, "routes" => routes,
                    "services" => services, "bytes" => content.len());
            }
            let pause = gw.now().since(started) * PAUSE_FACTOR;
            gw.next_install.set(gw.now().plus(pause.min(MAX_PAUSE)));
        }
        Err(e) => {
            warn!(gw.log, "cannot parse stored catalog; keeping the current one"; "reason" => %e)
        }
    }
}
