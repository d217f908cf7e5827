/// The state of an endpoint in its record.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// Its lease ended at the observer; it may announce itself again with the same incarnation.
    Expired,
    /// It leaves; final for the incarnation.
    Leaving,
}
