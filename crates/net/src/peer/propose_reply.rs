use masticstair_core::id::HostId;

/// The answer to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeReply {
    /// The command was applied, with this encoded reply.
    Applied(Box<[u8]>),
    /// This host does not lead and the command is not in the log; the leader, when it is known.
    Redirect(Option<HostId>),
    /// The command is not in the log and never will be.
    NotProposed(Box<str>),
    /// The command may be committed now or later.
    Unknown(Box<str>),
}
