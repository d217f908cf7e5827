use masticstair_core::id::HostId;

/// The reply to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadReply {
    /// The encoded result.
    Answer(Box<[u8]>),
    /// This host is not the leader; holds the leader, if known.
    Redirect(Option<HostId>),
    /// The leader could not confirm its leadership in time; holds the reason.
    Failed(Box<str>),
}
