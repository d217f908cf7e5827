use masticstair_core::prelude::*;

/// What a host knows of the catalog that one control host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlHostNews {
    /// The last time for which a reply named no version that this host lacked; zero before the first one.
    confirmed_at: Timestamp,
    /// The oldest reply since then that named such a version: the time for which it did, and the version.
    pending: Option<(Timestamp, CatalogVersion)>,
}

impl ControlHostNews {
    /// Records that the control host held `version` at `held_at` or later, while `in_force` was in force here. That is not
    /// before its reply was asked for, and has waited for an update.
    pub fn record(
        &mut self,
        held_at: Timestamp,
        version: CatalogVersion,
        in_force: CatalogVersion,
    ) {
        self.confirmed_at = self.confirmed_at(in_force);
        self.pending = self.pending.filter(|(_, lacked)| *lacked > in_force);
        if version <= in_force {
            self.confirmed_at = self.confirmed_at.max(held_at);
        } else if self.pending.is_none() {
            self.pending = Some((held_at, version));
        }
    }

    /// Returns the time up to which a host with the catalog `in_force` has what the control host held.
    pub fn confirmed_at(&self, in_force: CatalogVersion) -> Timestamp {
        let reached = self.pending.filter(|(_, version)| *version <= in_force);
        reached.map_or(self.confirmed_at, |(held_at, _)| self.confirmed_at.max(held_at))
    }
}
