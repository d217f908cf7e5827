/// Why a call is sent beyond the first one of its stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraCall {
    /// The attempt before it failed.
    Retry,
    /// The attempt before it takes long and still runs.
    Hedge,
}
