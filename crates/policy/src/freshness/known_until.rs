use masticstair_core::unit::Timestamp;

/// Returns the time up to which a host knows all changes of the catalog: it has what a majority of the control hosts held
/// then. What a quorum has stored is known to at least one host of every majority.
///
/// `confirmed_at` has the time up to which the host has what each control host held; zero before its first reply.
pub fn known_until(confirmed_at: &mut [Timestamp]) -> Timestamp {
    confirmed_at.sort_unstable_by(|a, b| b.cmp(a));
    confirmed_at.get(confirmed_at.len() / 2).copied().unwrap_or_default()
}
