/// The liveness of a host. Within one incarnation and refutation, a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HostState {
    /// The host answers probes.
    Alive,
    /// Direct and indirect probes timed out; the host can still refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time.
    Failed,
    /// The host announced its departure; final for the incarnation.
    Left,
}
