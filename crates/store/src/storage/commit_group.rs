use super::ReplySender;

/// The calls that complete with one sync (group commit).
#[derive(Default)]
pub(crate) struct CommitGroup {
    /// Receive the result of the sync.
    pub(crate) replies: Vec<ReplySender>,
    /// Receives the confirmation that the thread has stopped; set if a call requested it.
    pub(crate) close_reply: Option<ReplySender>,
}
