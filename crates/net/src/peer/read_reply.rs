use masticstair_core::id::HostId;

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
