/// How a call was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallLoss {
    /// The connection broke.
    Broken,
    /// Nothing came in time.
    Silent,
    /// The endpoint gave an answer that says nothing of the items.
    Invalid,
}
