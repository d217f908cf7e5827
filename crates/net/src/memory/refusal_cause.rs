/// Why a client was refused, or its connection closed, to stay within the memory or the descriptors of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// There was no room for a head, a body or an answer.
    NoRoom,
    /// The connection gave way to others.
    GaveWay,
    /// The client did not read its answer.
    Unread,
    /// Too many connections were open.
    Connections,
}

impl RefusalCause {
    /// All causes, in the order of their numbers.
    pub const ALL: [Self; 4] = [Self::NoRoom, Self::GaveWay, Self::Unread, Self::Connections];

    /// Returns the name of the cause in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::GaveWay => "gave_way",
            Self::Unread => "unread",
            Self::Connections => "connections",
        }
    }
}
