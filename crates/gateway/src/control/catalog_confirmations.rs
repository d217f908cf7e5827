use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Catalogs whose installation time is kept. A subscriber that is further behind counts as late since the oldest one.
const MAX_CATALOGS: usize = 256;

/// Subscribers whose version is kept.
const MAX_SUBSCRIBERS: usize = 4_096;

/// When catalogs came into force at a control host, and which one each subscriber has confirmed.
#[derive(Debug, Default)]
pub(crate) struct CatalogConfirmations {
    /// Versions with the time at which they came into force here; both only rise.
    installed: VecDeque<(CatalogVersion, Timestamp)>,
    confirmed: HashMap<HostId, CatalogVersion>,
}

impl CatalogConfirmations {
    /// Records that a catalog is in force here.
    pub(crate) fn record_installed(&mut self, now: Timestamp, version: CatalogVersion) {
        if self.installed.back().is_some_and(|(last, _)| *last >= version) {
            return;
        }
        self.installed.push_back((version, now));
        if self.installed.len() > MAX_CATALOGS {
            self.installed.pop_front();
        }
    }

    /// Returns when the first version after `version` came into force here; none if there is no later one.
    pub(crate) fn installed_after(&self, version: CatalogVersion) -> Option<Timestamp> {
        let next = self.installed.partition_point(|(v, _)| *v <= version);
        self.installed.get(next).map(|(_, installed)| *installed)
    }

    /// Records the version that a subscriber has in force. Returns for how long the oldest version that it has confirmed
    /// with this request has been in force here; none if it confirms no new one, or had none before.
    pub(crate) fn record_confirmed(
        &mut self,
        now: Timestamp,
        subscriber: &HostId,
        version: CatalogVersion,
    ) -> Option<Duration> {
        if version == CatalogVersion::default() {
            self.confirmed.remove(subscriber);
            return None;
        }
        let is_full = self.confirmed.len() >= MAX_SUBSCRIBERS;
        let before = match self.confirmed.get_mut(subscriber) {
            Some(before) => std::mem::replace(before, version),
            None if is_full => return None,
            None => {
                self.confirmed.insert(subscriber.clone(), version);
                return None;
            }
        };
        let mut new = self.installed.iter().filter(|(v, _)| *v > before && *v <= version);
        new.next().map(|(_, installed)| now.since(*installed))
    }
}
