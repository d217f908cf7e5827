use super::Reply;

/// The calls that one sync answers.
#[derive(Default)]
pub(crate) struct Group {
    /// Where the outcome of the sync goes.
    pub(crate) staged: Vec<Reply>,
    /// Where to confirm the end of the thread, if a call asked for it.
    pub(crate) close: Option<Reply>,
}
