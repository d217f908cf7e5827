use std::time::Duration;

use masticstair_core::id::HostId;

/// A linearizable read at the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadQuery {
    /// The encoded query.
    pub query: Box<[u8]>,
    /// The time that the leader has for its answer.
    pub budget: Duration,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadReply {
    /// The encoded answer.
    Answer(Box<[u8]>),
    /// This host does not lead; the leader, when it is known.
    Redirect(Option<HostId>),
    /// The leader could not confirm that it leads.
    Failed(Box<str>),
}
