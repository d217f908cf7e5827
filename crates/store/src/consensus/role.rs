use std::fmt;

/// What a replica does in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes in its term.
    Candidate,
    /// Leads its term.
    Leader,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        })
    }
}
