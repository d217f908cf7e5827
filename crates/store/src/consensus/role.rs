use std::fmt;

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes in its term.
    Candidate,
    /// Replicates its log to the other replicas.
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
