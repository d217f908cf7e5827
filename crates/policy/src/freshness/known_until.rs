use masticstair_core::unit::Timestamp;

/// Returns the time up to which a host knows all changes of the catalog: a majority of the control hosts has answered a
/// request that it sent no earlier. What a quorum has stored is known to at least one host of every majority.
///
/// `asked_at` has, for each control host, when the last request that it answered was sent; zero if it answered none.
pub fn known_until(asked_at: &mut [Timestamp]) -> Timestamp {
    asked_at.sort_unstable_by(|a, b| b.cmp(a));
    asked_at.get(asked_at.len() / 2).copied().unwrap_or_default()
}
