/// The state of an endpoint in its record.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndpointState {
    /// It accepts work.
    Ready,
    /// Its lease expired at the observer; it may announce itself again with the same incarnation.
    Expired,
    /// It is leaving or has left; final for the incarnation.
    Leaving,
}
