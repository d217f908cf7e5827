/// Kind of a call beyond the first one of its stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraCall {
    /// Sent after the previous attempt failed.
    Retry,
    /// Sent while the previous attempt is still in flight, because it is slow.
    Hedge,
}
