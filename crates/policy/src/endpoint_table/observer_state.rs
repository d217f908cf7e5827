/// What the table needs to know of the host that observes an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObserverState {
    /// It is alive.
    Alive,
    /// It is suspected; its records are not confirmed.
    Suspect,
    /// It failed, left or is not known; its records end after a grace time.
    Gone,
}
