use super::IssuerLease;

/// The reply to an `IssuerCommand`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IssuerReply {
    /// The lease belongs to the process that asked.
    Granted(IssuerLease),
    /// The lease was given back, now or since the command was first applied.
    Released(IssuerLease),
    /// Another process holds the lease, or the one that asked has lost it; this is its state.
    Refused(IssuerLease),
    /// The table has no room for another group; this is the greatest number of groups.
    Full(u32),
}
