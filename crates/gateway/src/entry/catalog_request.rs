use masticstair_core::prelude::*;
use masticstair_policy::freshness::{SourceCandidate, choose_source};
use smallvec::SmallVec;

use crate::Gateway;
use crate::install_catalog::MAX_PAUSE;
use crate::messages::CatalogMode;

/// How long a control host that is not the source holds a new version back. By then the source has sent the content,
/// unless it is out of touch.
const BACKUP_WAIT: Millis = Millis::new(500);

// A host that pauses between two catalogs must not take the second one for overdue.
const _: () = assert!(BACKUP_WAIT.get() as u128 >= 2 * MAX_PAUSE.as_millis());

/// What a subscription asks for when there is a newer catalog.
pub(super) struct CatalogRequest {
    /// The version that an update is to begin from; 0 asks for the whole content.
    pub(super) base: CatalogVersion,
    pub(super) mode: CatalogMode,
    pub(super) wait: Millis,
}

impl CatalogRequest {
    /// Returns the next request to a control host. The content comes from one of them only; from this one also if it is
    /// overdue, because this host still lacks a version that it was told of. A host without a catalog takes the first one
    /// that it gets.
    pub(super) fn next(gw: &Gateway, host: &HostId, is_overdue: bool) -> Self {
        let base = gw.catalog.version();
        let (mode, wait) = if base == CatalogVersion::default() || is_overdue {
            (CatalogMode::Update, Millis::default())
        } else if source(gw).as_ref() == Some(host) {
            let wait = gw.next_install.get().since(gw.now()).as_millis() as u64;
            (CatalogMode::Update, Millis::new(wait))
        } else {
            (CatalogMode::Version, BACKUP_WAIT)
        };
        Self { base, mode, wait }
    }

    /// Returns the request for the whole content, after an update that could not be read.
    pub(super) fn whole() -> Self {
        let (base, wait) = (CatalogVersion::default(), Millis::default());
        Self { base, mode: CatalogMode::Update, wait }
    }
}

/// Returns the control host that sends this host the content of new catalogs.
fn source(gw: &Gateway) -> Option<HostId> {
    let (answering, _) = gw.control_contacts();
    let (hosts, _) = gw.control_hosts();
    let candidates: SmallVec<[SourceCandidate<'_>; 8]> = hosts
        .iter()
        .map(|h| SourceCandidate {
            host: &h.host,
            is_near: h.data_centre == gw.data_centre,
            answers: answering.contains(&h.host),
        })
        .collect();
    choose_source(&gw.host, &candidates).cloned()
}
