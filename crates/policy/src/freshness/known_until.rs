use masticstair_core::unit::Timestamp;

/// Returns the time up to which a host knows all changes of the catalog: it has what a majority of the control hosts, and
/// all but `disk_losses` of them, held then. What is acknowledged is on `disk_losses` + 1 disks at least, so one of these
/// control hosts holds it, also where some have no vote.
///
/// `confirmed_at` has the time up to which the host has what each control host held; zero before its first reply.
pub fn known_until(confirmed_at: &mut [Timestamp], disk_losses: usize) -> Timestamp {
    confirmed_at.sort_unstable_by(|a, b| b.cmp(a));
    let count = confirmed_at.len();
    let needed = (count / 2 + 1).max(count.saturating_sub(disk_losses));
    confirmed_at.get(needed - 1).copied().unwrap_or_default()
}
