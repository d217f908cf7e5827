use masticstair_core::prelude::*;

/// What a host knows of the catalog that one control host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlHostNews {
    /// When the last request was sent whose reply named no version that this host lacked; zero before the first one.
    confirmed_at: Timestamp,
    /// The oldest reply since then that named such a version: when its request was sent, and the version.
    pending: Option<(Timestamp, CatalogVersion)>,
}

impl ControlHostNews {
    /// Records the reply to a request that was sent at `asked_at`; it named `version` while `in_force` was in force.
    pub fn record(
        &mut self,
        asked_at: Timestamp,
        version: CatalogVersion,
        in_force: CatalogVersion,
    ) {
        self.confirmed_at = self.confirmed_at(in_force);
        self.pending = self.pending.filter(|(_, lacked)| *lacked > in_force);
        if version <= in_force {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        } else if self.pending.is_none() {
            self.pending = Some((asked_at, version));
        }
    }

    /// Returns the time up to which a host with the catalog `in_force` has what the control host held.
    pub fn confirmed_at(&self, in_force: CatalogVersion) -> Timestamp {
        let reached = self.pending.filter(|(_, version)| *version <= in_force);
        reached.map_or(self.confirmed_at, |(asked_at, _)| self.confirmed_at.max(asked_at))
    }
}
