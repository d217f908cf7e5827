use super::IssuerLease;

/// The reply to an `IssuerCommand`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IssuerReply {
    /// The process that sent the command holds the lease.
    Granted(IssuerLease),
    /// The lease was released, now or when the command was first applied.
    Released(IssuerLease),
    /// Another process holds the lease, or the sender has lost it; carries the current lease.
    Refused(IssuerLease),
    /// The table has no capacity for another group; carries the largest number of groups.
    Full(u32),
}
