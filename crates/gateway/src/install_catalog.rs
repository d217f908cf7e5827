use masticstair_core::id::CatalogVersion;
use slog::{info, warn};

use crate::Gateway;

/// Puts a catalog in force if it is newer than the one before.
pub(crate) fn install_catalog(gw: &Gateway, version: CatalogVersion, content: &[u8]) {
    // Every control host tells of a new catalog; only the first word of it is read.
    if version <= gw.catalog.version() {
        return;
    }
    match (gw.front_end.read_catalog)(content) {
        Ok((document, catalog)) => {
            let version = document.version;
            let (routes, services) = (catalog.routes.len(), catalog.services.len());
            if gw.catalog.advance(document, catalog) {
                gw.metrics.catalog.set(version.get() as i64);
                info!(gw.log, "catalog in force"; "version" => %version, "routes" => routes,
                    "services" => services);
            }
        }
        Err(e) => warn!(gw.log, "stored catalog cannot be read"; "reason" => %e),
    }
}
