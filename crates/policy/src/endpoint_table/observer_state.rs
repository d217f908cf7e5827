/// The membership state of the host that observes an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObserverState {
    /// It is alive.
    Alive,
    /// It is suspected to have failed; its records are not confirmed.
    Suspect,
    /// It failed, left or is unknown; its endpoints stay usable for `OBSERVER_GRACE_PERIOD`.
    Gone,
}
