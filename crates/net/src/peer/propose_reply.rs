use masticstair_core::id::HostId;

/// The reply to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeReply {
    /// The command was applied; holds the encoded reply of the state machine.
    Applied(Box<[u8]>),
    /// This host is not the leader and the command is not in the log; holds the leader, if known.
    Redirect(Option<HostId>),
    /// The command is not in the log and will not be; holds the reason.
    NotProposed(Box<str>),
    /// The command may be or may become committed; holds the reason.
    Unknown(Box<str>),
}
