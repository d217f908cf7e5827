use masticstair_core::id::CatalogVersion;
use slog::{info, warn};

use crate::Gateway;

/// Installs a catalog if its version is higher than the current one.
pub(crate) fn install_catalog(gw: &Gateway, version: CatalogVersion, content: &[u8]) {
    // Every control host sends a new catalog; only the first copy is parsed.
    if version <= gw.catalog.version() {
        return;
    }
    match (gw.front_end.read_catalog)(content) {
        Ok((document, catalog)) => {
            let version = document.version;
            let (routes, services) = (catalog.routes.len(), catalog.services.len());
            if gw.catalog.advance(document, catalog) {
                gw.metrics.catalog.set(version.get() as i64);
                info!(gw.log, "new catalog in force"; "version" => %version, "routes" => routes,
                    "services" => services, "bytes" => content.len());
            }
        }
        Err(e) => {
            warn!(gw.log, "cannot parse stored catalog; keeping the current one"; "reason" => %e)
        }
    }
}
