use super::ReplySender;

/// The calls that one sync answers.
#[derive(Default)]
pub(crate) struct CommitGroup {
    /// Where the outcome of the sync goes.
    pub(crate) replies: Vec<ReplySender>,
    /// Where to confirm the end of the thread, if a call asked for it.
    pub(crate) close_reply: Option<ReplySender>,
}
